package org.goldcrestfall.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import org.goldcrestfall.core.routing.Candidate;
import org.goldcrestfall.core.routing.LoadTracker;

/**
 * Estimates how many slots this router may use: an equal part of all slots, which it can always
 * use, or its own requests plus an equal part of the free slots if that is more. Routers that
 * decide at the same time from the same late reports thus take each free slot about once.
 */
public final class CapacityEstimator {

  /**
   * Free slots from which on every router may use one more. An equal part alone is less than one
   * slot for many routers, and slots would stay free while requests are refused.
   */
  private static final double FREE_FOR_ONE = 3;

  private CapacityEstimator() {}

  /**
   * Returns the usable slots.
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
      own += load.own(c.name());
    }
    double borrowed = Math.max(free / routers, free >= FREE_FOR_ONE ? 1 : 0);
    return Math.max(slots / routers, own + borrowed);
  }
}
