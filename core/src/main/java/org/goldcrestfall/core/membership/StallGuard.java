package org.goldcrestfall.core.membership;

/**
 * Bounds how long input may have waited in the buffers of a process that was frozen. Regular ticks
 * show a freeze as a gap; what is read shortly after it may be as old as the gap.
 */
public final class StallGuard {

  static final long STALL_MILLIS = 1000;

  /** Time within which the buffers are read after a freeze. */
  static final long CATCH_UP_MILLIS = 1000;

  private long lastTick;
  private long stalledSince;
  private long resumedAt;

  /** Creates a guard for a process that runs now. */
  public StallGuard(long now) {
    lastTick = now;
    stalledSince = now;
    resumedAt = now - CATCH_UP_MILLIS;
  }

  /** Takes note that the process runs. */
  public void tick(long now) {
    if (now - lastTick >= STALL_MILLIS) {
      stalledSince = lastTick;
      resumedAt = now;
    }
    lastTick = now;
  }

  /** Returns the age that input which is read now may have. */
  public long ageMillis(long now) {
    if (now - lastTick >= STALL_MILLIS) {
      return now - lastTick;
    }
    return now - resumedAt < CATCH_UP_MILLIS ? now - stalledSince : 0;
  }
}
