package org.goldcrestfall.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Grants permits to send requests to upstreams that limit their rate, spaced by the inverse of the
 * rate. Permits that were not requested are kept for a short time only, so that the upstream gets
 * no burst. An upstream that takes no requests, or hardly any, still gets one from time to time, as
 * only its answer tells when its limit has ended. Not thread-safe.
 */
public final class RatePermits {

  /** Time for which permits that nobody requested are kept. */
  static final long BURST_MILLIS = 250;

  /**
   * Share of the rate that a second daemon grants while some routers cannot reach the first. Others
   * may still reach the first, which grants the whole rate.
   */
  public static final double SUBSTITUTE_SHARE = 0.4;

  /** Time after which an upstream is forgotten if nobody asks for it. */
  static final long EXPIRY_MILLIS = 60_000;

  /**
   * Time after which a request tests whether a low limit still holds. It is short against the time
   * for which callers wait, and long enough to add few requests to those that the limit allows.
   */
  static final long TEST_INTERVAL_MILLIS = 2_000;

  /** Delay until the next request for a permit, at most. */
  static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  /**
   * The answer to a request for a permit.
   *
   * @param granted whether one request may be sent now
   * @param retryAfterMillis the time until the next permit, if none was granted
   * @param limit the newest known limit of the upstream
   */
  public record Decision(boolean granted, long retryAfterMillis, StatedLimit limit) {}

  private static final class Schedule {
    StatedLimit limit;
    double nextAtMillis;
    long usedAtMillis;
  }

  private final DoubleSupplier firstDelay;
  private final Map<String, Schedule> schedules = new HashMap<>();
  private long expireAtMillis = Long.MIN_VALUE;

  /**
   * Creates an instance without upstreams.
   *
   * @param firstDelay supplies the delay of the first permit of an upstream, as a multiple of the
   *     time between two permits. What was sent to it before is not known, so 0 risks a burst.
   */
  public RatePermits(DoubleSupplier firstDelay) {
    this.firstDelay = firstDelay;
  }

  /**
   * Requests a permit to send one request.
   *
   * @param upstream identifies the incarnation of an upstream
   * @param stated the limit that the requester knows
   * @param share the share of the limit that this instance grants, above 0 and up to 1
   */
  public Decision acquire(String upstream, StatedLimit stated, double share, long nowMillis) {
    expire(nowMillis);
    Schedule s = schedules.computeIfAbsent(upstream, u -> new Schedule());
    s.usedAtMillis = nowMillis;
    final boolean isNew = s.limit == null || !s.limit.isLimited();
    s.limit = s.limit == null ? stated : s.limit.newer(stated);
    if (!s.limit.isLimited()) {
      return new Decision(true, 0, s.limit);
    }
    double intervalMillis =
        Math.min(1_000 / s.limit.requestsPerSecond(), TEST_INTERVAL_MILLIS) / share;
    if (isNew) {
      s.nextAtMillis = nowMillis + firstDelay.getAsDouble() * intervalMillis;
    }
    // A rise of the limit must not leave the next permit at the interval of the lower one.
    s.nextAtMillis =
        Math.max(nowMillis - BURST_MILLIS, Math.min(s.nextAtMillis, nowMillis + intervalMillis));
    if (s.nextAtMillis <= nowMillis) {
      s.nextAtMillis += intervalMillis;
      return new Decision(true, 0, s.limit);
    }
    long waitMillis = (long) Math.ceil(s.nextAtMillis - nowMillis);
    return new Decision(false, Math.min(MAX_RETRY_AFTER_MILLIS, waitMillis), s.limit);
  }

  private void expire(long nowMillis) {
    if (nowMillis < expireAtMillis) {
      return;
    }
    expireAtMillis = nowMillis + EXPIRY_MILLIS;
    schedules.values().removeIf(s -> nowMillis - s.usedAtMillis > EXPIRY_MILLIS);
  }
}
