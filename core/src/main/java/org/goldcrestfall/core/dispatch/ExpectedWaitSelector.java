package org.goldcrestfall.core.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.goldcrestfall.core.common.RendezvousHash;

/**
 * Chooses the upstream with the shortest expected wait for the first byte. If this router knows no
 * upstream that has cached the shared parts of a prompt, it expects them at the upstreams that
 * rendezvous hashing of the last shared part prefers. All routers thus send such a prompt to the
 * same upstream without asking each other, unless that upstream is so busy that the wait elsewhere
 * is shorter.
 */
public final class ExpectedWaitSelector implements UpstreamSelector {

  /** Time by which one running request delays the tokens of another. */
  private static final double MILLIS_PER_RUNNING_REQUEST = 0.4;

  /** Expected time of a call to a plain service whose slots are all free. */
  private static final double PLAIN_CALL_MILLIS = 80;

  /** Cost of the wait for a slot, for each request in excess of the slots of an engine. */
  private static final double SLOT_WAIT_COST_MILLIS = 150;

  /**
   * Cost of another availability zone. Traffic between zones is charged for, so an upstream in the
   * same zone wins among otherwise equal ones.
   */
  private static final double CROSS_ZONE_COST_MILLIS = 4;

  /** Cost of a request that is certain to fail. */
  private static final double FAILURE_COST_MILLIS = 1_000;

  /** Fraction of the shared parts that is expected in the cache of the first preferred upstream. */
  private static final double FIRST_PREFERENCE_CACHED_FRACTION = 0.8;

  /**
   * Fraction of the shared parts that is expected in the cache of the second preferred upstream.
   */
  private static final double SECOND_PREFERENCE_CACHED_FRACTION = 0.4;

  /**
   * Weight of the uncached tokens of the prompt against those of the backlog. The prefill of a
   * prompt also delays the other requests in the batch of the engine.
   */
  private static final double PREFILL_WEIGHT = 3;

  /** Prefill time from which on the streams of an engine stall for longer than callers accept. */
  private static final double LONG_PREFILL_MILLIS = 400;

  /** Cost of a long prefill for each running request, whose stream it stalls. */
  private static final double STALLED_STREAM_COST_MILLIS = 20;

  private final String zone;

  /** Creates the selector of a router in the availability zone {@code zone}. */
  public ExpectedWaitSelector(String zone) {
    this.zone = zone;
  }

  @Override
  public Optional<UpstreamLoad> choose(
      Collection<UpstreamLoad> candidates, RequestSize requestSize, long nowMillis) {
    boolean anyUsable = candidates.stream().anyMatch(c -> !c.isPaused(nowMillis));
    List<UpstreamLoad> usable =
        candidates.stream().filter(c -> !anyUsable || !c.isPaused(nowMillis)).toList();
    final PreferredUpstreams preferred =
        isCached(usable, requestSize)
            ? PreferredUpstreams.NONE
            : preferredUpstreams(candidates, requestSize);
    UpstreamLoad best = null;
    double bestWaitMillis = Double.MAX_VALUE;
    for (UpstreamLoad c : usable) {
      double waitMillis =
          expectedWaitMillis(c, requestSize, preferred.cachedFraction(c), nowMillis);
      if (waitMillis < bestWaitMillis) {
        bestWaitMillis = waitMillis;
        best = c;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * The ids of the two upstreams that rendezvous hashing prefers for the shared parts of a prompt;
   * empty for none.
   */
  private record PreferredUpstreams(String first, String second) {

    static final PreferredUpstreams NONE = new PreferredUpstreams("", "");

    /** Returns the fraction of the shared parts that is expected in the cache of an upstream. */
    double cachedFraction(UpstreamLoad c) {
      if (c.id().equals(first)) {
        return FIRST_PREFERENCE_CACHED_FRACTION;
      }
      return c.id().equals(second) ? SECOND_PREFERENCE_CACHED_FRACTION : 0;
    }
  }

  /** Returns whether an upstream is known to have cached all shared parts of a prompt. */
  private static boolean isCached(List<UpstreamLoad> usable, RequestSize requestSize) {
    long unsharedTokens = requestSize.unsharedPromptTokens();
    return requestSize.sharedTokens().value() > 0
        && usable.stream().anyMatch(c -> c.uncachedTokens(requestSize) <= unsharedTokens);
  }

  private static PreferredUpstreams preferredUpstreams(
      Collection<UpstreamLoad> candidates, RequestSize requestSize) {
    String key = requestSize.lastSharedPartId();
    String first = "";
    String second = "";
    long firstWeight = Long.MIN_VALUE;
    long secondWeight = Long.MIN_VALUE;
    for (UpstreamLoad c : candidates) {
      long weight = key.isEmpty() ? Long.MIN_VALUE : RendezvousHash.weight(key, c.id());
      if (weight > firstWeight) {
        second = first;
        secondWeight = firstWeight;
        first = c.id();
        firstWeight = weight;
      } else if (weight > secondWeight) {
        second = c.id();
        secondWeight = weight;
      }
    }
    return new PreferredUpstreams(first, second);
  }

  /**
   * Returns the expected wait of a request at an upstream in milliseconds, with the costs of
   * failures and traffic between zones added.
   */
  private double expectedWaitMillis(
      UpstreamLoad c, RequestSize requestSize, double cachedFraction, long nowMillis) {
    int load = c.load(nowMillis);
    int slots = Math.max(1, c.slots());
    double waitMillis;
    if (!requestSize.hasPrompt()) {
      waitMillis = PLAIN_CALL_MILLIS * (1 + Math.max(0, load + 1 - slots) / (double) slots) + load;
    } else {
      double uncached = c.uncachedTokens(requestSize);
      if (cachedFraction > 0) {
        long unsharedTokens = requestSize.unsharedPromptTokens();
        uncached = Math.min(uncached, unsharedTokens + (1 - cachedFraction) * uncached);
      }
      double tokens = c.promptBacklog() + PREFILL_WEIGHT * uncached;
      waitMillis =
          tokens / UpstreamLoad.PREFILL_TOKENS_PER_MILLI + MILLIS_PER_RUNNING_REQUEST * load;
      waitMillis += Math.max(0, load + 1 - slots) * SLOT_WAIT_COST_MILLIS;
      if (uncached / UpstreamLoad.PREFILL_TOKENS_PER_MILLI > LONG_PREFILL_MILLIS) {
        waitMillis += STALLED_STREAM_COST_MILLIS * load;
      }
    }
    waitMillis *= c.latencyRatio(nowMillis);
    waitMillis += FAILURE_COST_MILLIS * c.failureShare(nowMillis);
    return c.zone().equals(zone) ? waitMillis : waitMillis + CROSS_ZONE_COST_MILLIS;
  }
}
