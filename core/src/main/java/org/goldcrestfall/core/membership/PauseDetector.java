package org.goldcrestfall.core.membership;

/**
 * Bounds how long input may have waited in receive buffers while the process was paused. A pause
 * shows as a gap between the regular calls of {@link #tick}. Input that is read shortly after a
 * pause may have arrived at its beginning.
 */
public final class PauseDetector {

  /** A gap of at least this length between ticks is a pause of the process. */
  static final long PAUSE_THRESHOLD_MILLIS = 1000;

  /** Time after a pause within which the buffered input has been read. */
  static final long CATCH_UP_MILLIS = 1000;

  private long lastTickMillis;
  private long pauseStartMillis;
  private long pauseEndMillis;

  /** Creates an instance for a process that is running at {@code nowMillis}. */
  public PauseDetector(long nowMillis) {
    lastTickMillis = nowMillis;
    pauseStartMillis = nowMillis;
    pauseEndMillis = nowMillis - CATCH_UP_MILLIS;
  }

  /** Records that the process is running; to be called regularly. */
  public void tick(long nowMillis) {
    if (nowMillis - lastTickMillis >= PAUSE_THRESHOLD_MILLIS) {
      pauseStartMillis = lastTickMillis;
      pauseEndMillis = nowMillis;
    }
    lastTickMillis = nowMillis;
  }

  /** Returns an upper bound, in milliseconds, of the age of input that is read now. */
  public long maxInputAgeMillis(long nowMillis) {
    if (nowMillis - lastTickMillis >= PAUSE_THRESHOLD_MILLIS) {
      return nowMillis - lastTickMillis;
    }
    return nowMillis - pauseEndMillis < CATCH_UP_MILLIS ? nowMillis - pauseStartMillis : 0;
  }
}
