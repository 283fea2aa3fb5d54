package org.goldcrestfall.core.order;

/**
 * Token bucket for loads from the weight store. It starts empty, because a new leader does not know
 * how many loads the old one has just started.
 */
final class LoadBucket {

  private static final long MINUTE_MILLIS = 60_000;

  private final long loadsPerMinute;
  private final long burst;
  // In loads times MINUTE_MILLIS, so that the refill is exact.
  private long level;
  private long updatedMillis;

  LoadBucket(long loadsPerMinute, long burst, long nowMillis) {
    this.loadsPerMinute = loadsPerMinute;
    this.burst = burst;
    updatedMillis = nowMillis;
  }

  boolean take(long nowMillis) {
    level = Math.min(burst * MINUTE_MILLIS, level + (nowMillis - updatedMillis) * loadsPerMinute);
    updatedMillis = nowMillis;
    if (level < MINUTE_MILLIS) {
      return false;
    }
    level -= MINUTE_MILLIS;
    return true;
  }
}
