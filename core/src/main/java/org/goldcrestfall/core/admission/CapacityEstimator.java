package org.goldcrestfall.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import org.goldcrestfall.core.routing.Candidate;
import org.goldcrestfall.core.routing.LoadTracker;

/**
 * Estimates how many slots this router may use: an equal part of all slots or, if that is more, the
 * slots of its own requests plus an equal part of the free slots. Routers that decide at the same
 * time from the same delayed load reports thus use each free slot about once.
 */
public final class CapacityEstimator {

  /**
   * Minimum number of free slots at which every router may use at least one more. With many
   * routers, an equal part of the free slots is less than one slot; without this rule, slots would
   * stay free while requests are refused.
   */
  private static final double MIN_FREE_SLOTS_FOR_EXTRA = 3;

  private CapacityEstimator() {}

  /**
   * Returns the number of slots that this router may use, which need not be whole.
   *
   * @param routers number of routers that share the candidates, at least 1
   */
  public static double usableSlots(
      List<Candidate> candidates, LoadTracker load, int routers, long nowMillis) {
    checkArgument(routers > 0, "routers must be positive: %s", routers);
    double slots = 0;
    double free = 0;
    double own = 0;
    for (Candidate c : candidates) {
      if (c.leaving()) {
        continue;
      }
      slots += c.slots();
      free += Math.max(0, c.slots() - load.outstanding(c, nowMillis));
      own += load.ownRequests(c.name());
    }
    double extra = Math.max(free / routers, free >= MIN_FREE_SLOTS_FOR_EXTRA ? 1 : 0);
    return Math.max(slots / routers, own + extra);
  }
}
