package org.goldcrestfall.core.budget;

/**
 * The recent demand of one workspace on this router: an exponentially decaying average of the rate
 * and a decaying maximum of single requests.
 */
final class DemandMeter {

  /** Decay time of the average: long enough to smooth single requests, short against minutes. */
  static final double DECAY_MILLIS = 30_000;

  private double sum;
  private double largest;
  private long updatedMillis;

  DemandMeter(long nowMillis) {
    updatedMillis = nowMillis;
  }

  void add(long tokens, long nowMillis) {
    decay(nowMillis);
    sum += tokens;
    largest = Math.max(largest, tokens);
  }

  /** Returns the rate in tokens a millisecond. */
  double rate(long nowMillis) {
    decay(nowMillis);
    return sum / DECAY_MILLIS;
  }

  long largest(long nowMillis) {
    decay(nowMillis);
    return (long) Math.ceil(largest);
  }

  private void decay(long nowMillis) {
    long elapsed = nowMillis - updatedMillis;
    if (elapsed > 0) {
      double factor = Math.exp(-elapsed / DECAY_MILLIS);
      sum *= factor;
      largest *= factor;
      updatedMillis = nowMillis;
    }
  }
}
