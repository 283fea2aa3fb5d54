package org.goldcrestfall.core.prepaid;

/**
 * Decides when a router incarnation opens its reserves without the ledger: not for some time after
 * its last successful renewal, and then evenly over a longer time. The ledger knows this schedule,
 * so the time at which an incarnation ended bounds what it can have opened. Times are milliseconds
 * of the monotonic clock of the host. Not thread-safe.
 */
public final class ReserveSchedule {

  /** Time from the sending of the last successful renewal until the reserves begin to open. */
  static final long DELAY_MILLIS = 3_500;

  /** Time over which the reserves then open, at about the rate of the expected use. */
  static final long OPENING_MILLIS = 7_000;

  /** The reserves are opened in steps, because fractions of tokens are lost in each step. */
  private static final long STEP_MILLIS = 100;

  private long opensAtMillis;
  private double openedFraction;

  /** Creates the schedule of an incarnation that has not renewed its allotments yet. */
  public ReserveSchedule(long startedAtMillis) {
    opensAtMillis = startedAtMillis + DELAY_MILLIS;
  }

  /** Starts anew after the ledger has answered a renewal. */
  public void recordRenewal(long sentAtMillis) {
    if (sentAtMillis + DELAY_MILLIS > opensAtMillis) {
      opensAtMillis = sentAtMillis + DELAY_MILLIS;
      openedFraction = 0;
    }
  }

  /** Returns the time at which the reserves begin to open. */
  public long opensAtMillis() {
    return opensAtMillis;
  }

  /** Returns the time over which the reserves open. */
  public long openingMillis() {
    return OPENING_MILLIS;
  }

  /** Returns whether the reserves are being opened. */
  public boolean isOpening(long nowMillis) {
    return nowMillis >= opensAtMillis;
  }

  /** Returns which fraction of the tokens that are not open yet is to be opened now, once. */
  public double advance(long nowMillis) {
    if (!isOpening(nowMillis)) {
      return 0;
    }
    if (openedFraction == 1) {
      return 1;
    }
    long elapsedMillis = (nowMillis - opensAtMillis) / STEP_MILLIS * STEP_MILLIS;
    double fraction = Math.min(1, (double) elapsedMillis / OPENING_MILLIS);
    double step = (fraction - openedFraction) / (1 - openedFraction);
    openedFraction = fraction;
    return step;
  }

  /** Returns the time until {@code tokens} of a reserve of {@code unopened} tokens are open. */
  public long millisUntilOpen(long tokens, long unopened, long nowMillis) {
    long untilOpeningMillis = Math.max(0, opensAtMillis - nowMillis);
    double remainingMillis = (1 - openedFraction) * OPENING_MILLIS;
    return untilOpeningMillis + (long) (remainingMillis * tokens / Math.max(1, unopened));
  }
}
