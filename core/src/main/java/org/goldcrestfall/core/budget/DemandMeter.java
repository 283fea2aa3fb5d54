package org.goldcrestfall.core.budget;

/**
 * The recent demand of one workspace on this router: exponentially decaying averages of the rates
 * of reservation and of actual use, and a decaying maximum of single reservations.
 */
final class DemandMeter {

  /** Decay time of the average: long enough to smooth single requests, short against minutes. */
  static final double DECAY_MILLIS = 30_000;

  private double reserved;
  private double used;
  private double largest;
  private long updatedMillis;

  DemandMeter(long nowMillis) {
    updatedMillis = nowMillis;
  }

  void reserve(long tokens, long nowMillis) {
    decay(nowMillis);
    reserved += tokens;
    largest = Math.max(largest, tokens);
  }

  void use(long tokens, long nowMillis) {
    decay(nowMillis);
    used += tokens;
  }

  /** Returns the rate of reservation in tokens a millisecond. */
  double reservationRate(long nowMillis) {
    decay(nowMillis);
    return reserved / DECAY_MILLIS;
  }

  /** Returns the rate of use in tokens a millisecond. */
  double useRate(long nowMillis) {
    decay(nowMillis);
    return used / DECAY_MILLIS;
  }

  long largest(long nowMillis) {
    decay(nowMillis);
    return (long) Math.ceil(largest);
  }

  private void decay(long nowMillis) {
    long elapsed = nowMillis - updatedMillis;
    if (elapsed > 0) {
      double factor = Math.exp(-elapsed / DECAY_MILLIS);
      reserved *= factor;
      used *= factor;
      largest *= factor;
      updatedMillis = nowMillis;
    }
  }
}
