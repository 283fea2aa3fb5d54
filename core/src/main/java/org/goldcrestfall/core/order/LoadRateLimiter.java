package org.goldcrestfall.core.order;

/**
 * Token bucket that limits the rate of model loads from the weight store. It starts empty, because
 * a new leader does not know how many loads its predecessor has just started.
 */
final class LoadRateLimiter {

  private static final long MINUTE_MILLIS = 60_000;

  private final long loadsPerMinute;
  private final long burst;

  /** Available loads times {@link #MINUTE_MILLIS}, so that the refill is exact in integers. */
  private long scaledTokens;

  private long updatedAtMillis;

  LoadRateLimiter(long loadsPerMinute, long burst, long nowMillis) {
    this.loadsPerMinute = loadsPerMinute;
    this.burst = burst;
    updatedAtMillis = nowMillis;
  }

  /** Takes one load from the bucket; returns false if there is none. */
  boolean tryAcquire(long nowMillis) {
    scaledTokens =
        Math.min(
            burst * MINUTE_MILLIS, scaledTokens + (nowMillis - updatedAtMillis) * loadsPerMinute);
    updatedAtMillis = nowMillis;
    if (scaledTokens < MINUTE_MILLIS) {
      return false;
    }
    scaledTokens -= MINUTE_MILLIS;
    return true;
  }
}
