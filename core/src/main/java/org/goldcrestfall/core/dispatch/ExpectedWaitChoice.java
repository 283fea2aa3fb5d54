package org.goldcrestfall.core.dispatch;

import java.util.Collection;
import java.util.Optional;
import org.goldcrestfall.core.common.RendezvousHash;

/**
 * Chooses the upstream with the shortest expected wait for the first byte. A prompt whose shared
 * parts this router has not sent anywhere is expected in the cache of its home, the upstream that
 * rendezvous hashing gives for the last shared part, so that all routers send it there without
 * asking each other; the wait for a busy home sends it elsewhere.
 */
public final class ExpectedWaitChoice implements UpstreamChoice {

  /** Prompt tokens that an engine reads in a millisecond; engines do not announce their rate. */
  static final double PREFILL_TOKENS_PER_MILLI = 60;

  /** How much one running request delays the tokens of another, in milliseconds. */
  private static final double MILLIS_PER_RUNNING = 0.4;

  /** The time of a plain call where every slot is free, in milliseconds. */
  private static final double PLAIN_MILLIS = 80;

  /** What a request that may wait for a slot of an engine costs, in milliseconds. */
  private static final double SLOT_WAIT_MILLIS = 150;

  /** Traffic between availability zones is paid for, so near upstreams win among equal ones. */
  private static final double OTHER_ZONE_MILLIS = 4;

  /** The wait that a certain failure stands for, in milliseconds. */
  private static final double FAILURE_MILLIS = 1_000;

  /** The part of a prompt that is expected in the cache of its home. */
  private static final double HOME_CONFIDENCE = 0.8;

  private final String zone;

  /** Creates the choice of a router in an availability zone. */
  public ExpectedWaitChoice(String zone) {
    this.zone = zone;
  }

  @Override
  public Optional<UpstreamLoad> choose(
      Collection<UpstreamLoad> candidates, Workload workload, long nowMillis) {
    boolean anyUsable = candidates.stream().anyMatch(c -> !c.isPaused(nowMillis));
    String home = homeOf(candidates, workload);
    UpstreamLoad best = null;
    double bestWait = Double.MAX_VALUE;
    for (UpstreamLoad c : candidates) {
      if (anyUsable && c.isPaused(nowMillis)) {
        continue;
      }
      double wait = expectedWait(c, workload, c.id().equals(home), nowMillis);
      if (wait < bestWait) {
        bestWait = wait;
        best = c;
      }
    }
    return Optional.ofNullable(best);
  }

  private static String homeOf(Collection<UpstreamLoad> candidates, Workload workload) {
    String key = workload.sharedKey();
    if (key.isEmpty()) {
      return "";
    }
    String home = "";
    long highest = Long.MIN_VALUE;
    for (UpstreamLoad c : candidates) {
      long weight = RendezvousHash.weight(key, c.id());
      if (weight >= highest) {
        highest = weight;
        home = c.id();
      }
    }
    return home;
  }

  /** Returns the wait in milliseconds that a request is expected to have at an upstream. */
  private double expectedWait(UpstreamLoad c, Workload workload, boolean isHome, long nowMillis) {
    int load = c.load(nowMillis);
    int slots = Math.max(1, c.slots());
    double wait;
    if (workload.promptTokens() == 0) {
      wait = PLAIN_MILLIS * (1 + Math.max(0, load + 1 - slots) / (double) slots) + load;
    } else {
      double uncached = c.uncachedTokens(workload);
      if (isHome) {
        long own = workload.parts().get(workload.parts().size() - 1).tokens();
        uncached = Math.min(uncached, own + (1 - HOME_CONFIDENCE) * uncached);
      }
      wait = (c.promptBacklog() + uncached) / PREFILL_TOKENS_PER_MILLI + MILLIS_PER_RUNNING * load;
      wait += Math.max(0, load + 1 - slots) * SLOT_WAIT_MILLIS;
    }
    wait *= c.slowness(nowMillis);
    wait += FAILURE_MILLIS * c.failureShare(nowMillis);
    return c.zone().equals(zone) ? wait : wait + OTHER_ZONE_MILLIS;
  }
}
