package org.goldcrestfall.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long the requests of a patience class take from dispatch to the first token, as a
 * low quantile, and to the end, as a moving average. A mean time to the first token would include
 * the queueing during an overload: the admission queue would then refuse every request as unable to
 * meet its deadline, observe no further times, and never recover. Not thread-safe.
 */
public final class SlotTimeEstimator {

  /** Weight of a new observation in both estimates. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /**
   * Quantile of the observed times to the first token that approximates the time without queueing.
   */
  private static final double FIRST_TOKEN_QUANTILE = 0.25;

  private static final long DEFAULT_FIRST_TOKEN_MILLIS = 200;
  private static final long DEFAULT_HOLD_MILLIS = 2_000;

  private record Times(double firstTokenMillis, double holdMillis) {}

  private final Map<String, Times> classes = new HashMap<>();

  /**
   * Records the times that a finished request took from dispatch to its first token and to its end.
   */
  public void onCompletion(String patienceClass, long firstTokenMillis, long holdMillis) {
    classes.merge(
        patienceClass,
        new Times(firstTokenMillis, holdMillis),
        (old, observed) ->
            new Times(
                updateQuantile(old.firstTokenMillis, observed.firstTokenMillis),
                updateAverage(old.holdMillis, observed.holdMillis)));
  }

  /**
   * Returns the expected time from dispatch to the first token, at most half of {@code
   * deadlineMillis}, the time limit of the class. Thanks to the cap, requests that can start at
   * once are still admitted after a disturbance, so that the estimate can fall again.
   */
  public long firstTokenMillis(String patienceClass, long deadlineMillis) {
    Times t = classes.get(patienceClass);
    long expected = t == null ? DEFAULT_FIRST_TOKEN_MILLIS : (long) Math.ceil(t.firstTokenMillis);
    return Math.min(expected, deadlineMillis / 2);
  }

  /** Returns the expected time from dispatch to the end, at least 1. */
  public long holdMillis(String patienceClass) {
    Times t = classes.get(patienceClass);
    return t == null ? DEFAULT_HOLD_MILLIS : Math.max(1, (long) Math.ceil(t.holdMillis));
  }

  /**
   * Moves a quantile estimate up or down, so that the share {@link #FIRST_TOKEN_QUANTILE} of the
   * observations lies below it.
   */
  private static double updateQuantile(double old, double observed) {
    double step = SMOOTHING_FACTOR * Math.max(1, old);
    return observed < old
        ? old - step * (1 - FIRST_TOKEN_QUANTILE)
        : old + step * FIRST_TOKEN_QUANTILE;
  }

  private static double updateAverage(double old, double observed) {
    return old + SMOOTHING_FACTOR * (observed - old);
  }
}
