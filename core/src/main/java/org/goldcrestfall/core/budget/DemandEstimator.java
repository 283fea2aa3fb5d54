package org.goldcrestfall.core.budget;

/**
 * Estimates the recent demand of one workspace on this router: exponentially decaying averages of
 * the rates of reservation and of actual use, and a decaying maximum of single reservations.
 */
final class DemandEstimator {

  /**
   * Time constant of the decay. It smooths out single requests and still follows changes of demand
   * within minutes.
   */
  static final double TIME_CONSTANT_MILLIS = 30_000;

  private double decayedReservedTokens;
  private double decayedUsedTokens;
  private double largestReservation;
  private long updatedAtMillis;

  DemandEstimator(long nowMillis) {
    updatedAtMillis = nowMillis;
  }

  void recordReservation(long tokens, long nowMillis) {
    decay(nowMillis);
    decayedReservedTokens += tokens;
    largestReservation = Math.max(largestReservation, tokens);
  }

  void recordUse(long tokens, long nowMillis) {
    decay(nowMillis);
    decayedUsedTokens += tokens;
  }

  /** Returns the rate of reservation in tokens per millisecond. */
  double reservationRate(long nowMillis) {
    decay(nowMillis);
    return decayedReservedTokens / TIME_CONSTANT_MILLIS;
  }

  /** Returns the rate of actual use in tokens per millisecond. */
  double useRate(long nowMillis) {
    decay(nowMillis);
    return decayedUsedTokens / TIME_CONSTANT_MILLIS;
  }

  long largestReservation(long nowMillis) {
    decay(nowMillis);
    return (long) Math.ceil(largestReservation);
  }

  private void decay(long nowMillis) {
    long elapsedMillis = nowMillis - updatedAtMillis;
    if (elapsedMillis > 0) {
      double factor = Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS);
      decayedReservedTokens *= factor;
      decayedUsedTokens *= factor;
      largestReservation *= factor;
      updatedAtMillis = nowMillis;
    }
  }
}
