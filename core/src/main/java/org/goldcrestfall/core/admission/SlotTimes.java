package org.goldcrestfall.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long the requests of a patience class take from dispatch to the first token, as a low
 * quantile, and to the end, as a moving average. The mean time to the first token would contain the
 * queueing of an overload: the queue would then refuse everything as unreachable, see no further
 * times, and never recover. Not thread-safe.
 */
public final class SlotTimes {

  private static final double WEIGHT = 0.05;

  /** Quantile of the time to the first token that is taken as the time without queueing. */
  private static final double LEAD_QUANTILE = 0.25;

  private static final long DEFAULT_LEAD_MILLIS = 200;
  private static final long DEFAULT_HOLD_MILLIS = 2_000;

  private record Times(double lead, double hold) {}

  private final Map<String, Times> classes = new HashMap<>();

  /** Records a finished request with the times from dispatch to first token and to the end. */
  public void onCompletion(String patienceClass, long leadMillis, long holdMillis) {
    classes.merge(
        patienceClass,
        new Times(leadMillis, holdMillis),
        (o, n) -> new Times(quantile(o.lead, n.lead), average(o.hold, n.hold)));
  }

  /**
   * Returns the expected time from dispatch to the first token, at most half of {@code
   * deadlineMillis}, the deadline of the class. The cap keeps requests running that can start at
   * once, so that the estimate can fall again after a disturbance.
   */
  public long leadMillis(String patienceClass, long deadlineMillis) {
    Times t = classes.get(patienceClass);
    long lead = t == null ? DEFAULT_LEAD_MILLIS : (long) Math.ceil(t.lead);
    return Math.min(lead, deadlineMillis / 2);
  }

  /** Returns the expected time from dispatch to the end, at least 1. */
  public long holdMillis(String patienceClass) {
    Times t = classes.get(patienceClass);
    return t == null ? DEFAULT_HOLD_MILLIS : Math.max(1, (long) Math.ceil(t.hold));
  }

  /** Moves an estimated quantile up or down so that the stated share of values lies below it. */
  private static double quantile(double old, double observed) {
    double step = WEIGHT * Math.max(1, old);
    return observed < old ? old - step * (1 - LEAD_QUANTILE) : old + step * LEAD_QUANTILE;
  }

  private static double average(double old, double observed) {
    return old + WEIGHT * (observed - old);
  }
}
