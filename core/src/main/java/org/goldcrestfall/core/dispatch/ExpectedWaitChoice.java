package org.goldcrestfall.core.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.goldcrestfall.core.common.RendezvousHash;

/**
 * Chooses the upstream with the shortest expected wait for the first byte. A prompt whose shared
 * parts this router has not sent anywhere is expected in the cache of its home, the upstream that
 * rendezvous hashing gives for the last shared part, so that all routers send it there without
 * asking each other; the wait for a busy home sends it elsewhere.
 */
public final class ExpectedWaitChoice implements UpstreamChoice {

  /** How much one running request delays the tokens of another, in milliseconds. */
  private static final double MILLIS_PER_RUNNING_REQUEST = 0.4;

  /** The time of a plain call where every slot is free, in milliseconds. */
  private static final double PLAIN_CALL_MILLIS = 80;

  /** What a request that may wait for a slot of an engine costs, in milliseconds. */
  private static final double SLOT_WAIT_COST_MILLIS = 150;

  /** Traffic between availability zones is paid for, so near upstreams win among equal ones. */
  private static final double CROSS_ZONE_COST_MILLIS = 4;

  /** The wait that a certain failure stands for, in milliseconds. */
  private static final double FAILURE_COST_MILLIS = 1_000;

  /** The part of a prompt that is expected in the cache of its home, and of its second choice. */
  private static final double FIRST_CACHED_FRACTION = 0.8;

  private static final double SECOND_CACHED_FRACTION = 0.4;

  /**
   * Reading a prompt delays the others in the batch too, so its tokens count more than the wait.
   */
  private static final double PREFILL_WEIGHT = 3;

  /** An engine that reads so long at once stops its streams for longer than callers accept. */
  private static final double LONG_PREFILL_MILLIS = 400;

  /** What such a stop costs for each running request, in milliseconds of wait. */
  private static final double STALLED_STREAM_COST_MILLIS = 20;

  private final String zone;

  /** Creates the choice of a router in an availability zone. */
  public ExpectedWaitChoice(String zone) {
    this.zone = zone;
  }

  @Override
  public Optional<UpstreamLoad> choose(
      Collection<UpstreamLoad> candidates, Workload workload, long nowMillis) {
    boolean anyUsable = candidates.stream().anyMatch(c -> !c.isPaused(nowMillis));
    List<UpstreamLoad> usable =
        candidates.stream().filter(c -> !anyUsable || !c.isPaused(nowMillis)).toList();
    final PreferredUpstreams homes =
        isCached(usable, workload)
            ? PreferredUpstreams.NONE
            : preferredUpstreams(candidates, workload);
    UpstreamLoad best = null;
    double bestWait = Double.MAX_VALUE;
    for (UpstreamLoad c : usable) {
      double wait = expectedWait(c, workload, homes.cachedFraction(c), nowMillis);
      if (wait < bestWait) {
        bestWait = wait;
        best = c;
      }
    }
    return Optional.ofNullable(best);
  }

  /** The upstreams where the shared parts of a prompt are expected; empty for none. */
  private record PreferredUpstreams(String first, String second) {

    static final PreferredUpstreams NONE = new PreferredUpstreams("", "");

    double cachedFraction(UpstreamLoad c) {
      if (c.id().equals(first)) {
        return FIRST_CACHED_FRACTION;
      }
      return c.id().equals(second) ? SECOND_CACHED_FRACTION : 0;
    }
  }

  /** Returns whether any upstream is known to have read all shared parts of a prompt. */
  private static boolean isCached(List<UpstreamLoad> usable, Workload workload) {
    long own = workload.promptTokens() - workload.sharedTokens();
    return workload.sharedTokens() > 0
        && usable.stream().anyMatch(c -> c.uncachedTokens(workload) <= own);
  }

  private static PreferredUpstreams preferredUpstreams(
      Collection<UpstreamLoad> candidates, Workload workload) {
    String key = workload.lastSharedPartId();
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

  /** Returns the wait in milliseconds that a request is expected to have at an upstream. */
  private double expectedWait(
      UpstreamLoad c, Workload workload, double confidence, long nowMillis) {
    int load = c.load(nowMillis);
    int slots = Math.max(1, c.slots());
    double wait;
    if (workload.promptTokens() == 0) {
      wait = PLAIN_CALL_MILLIS * (1 + Math.max(0, load + 1 - slots) / (double) slots) + load;
    } else {
      double uncached = c.uncachedTokens(workload);
      if (confidence > 0) {
        long own = workload.promptTokens() - workload.sharedTokens();
        uncached = Math.min(uncached, own + (1 - confidence) * uncached);
      }
      double tokens = c.promptBacklog() + PREFILL_WEIGHT * uncached;
      wait = tokens / UpstreamLoad.PREFILL_TOKENS_PER_MILLI + MILLIS_PER_RUNNING_REQUEST * load;
      wait += Math.max(0, load + 1 - slots) * SLOT_WAIT_COST_MILLIS;
      if (uncached / UpstreamLoad.PREFILL_TOKENS_PER_MILLI > LONG_PREFILL_MILLIS) {
        wait += STALLED_STREAM_COST_MILLIS * load;
      }
    }
    wait *= c.slowness(nowMillis);
    wait += FAILURE_COST_MILLIS * c.failureShare(nowMillis);
    return c.zone().equals(zone) ? wait : wait + CROSS_ZONE_COST_MILLIS;
  }
}
