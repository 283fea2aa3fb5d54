package org.goldcrestfall.core.prepaid;

/**
 * The times that a router incarnation reports about itself, in milliseconds of the monotonic clock
 * of its host. That clock continues when a process is killed, and restarts when the host reboots.
 *
 * @param host the host on which the incarnation runs
 * @param startedAtMillis the start of the process
 * @param sentAtMillis the time at which this report was sent
 * @param reserveOpensAtMillis the time before which the incarnation does not use its reserve, the
 *     granted tokens that the ledger has not opened
 * @param reserveOpeningMillis the time over which the incarnation then opens its reserve evenly; 0
 *     if it opens all of it at once
 * @param clockOffsetMillis wall clock minus monotonic clock; nearly constant until the host reboots
 */
public record IncarnationTimes(
    String host,
    long startedAtMillis,
    long sentAtMillis,
    long reserveOpensAtMillis,
    long reserveOpeningMillis,
    long clockOffsetMillis) {

  /**
   * Largest difference between the clock offsets of two incarnations that still use the same run of
   * the monotonic clock. Beyond it, the host may have rebooted or its wall clock may have been set.
   */
  private static final long MAX_OFFSET_CHANGE_MILLIS = 1_000;

  /**
   * Returns how many tokens of a reserve this incarnation cannot have opened, as a later process on
   * its host proves: if both use the same run of the monotonic clock, this incarnation had ended
   * when the later one started.
   */
  long provablyUnopened(long reserve, IncarnationTimes later) {
    boolean sameClock =
        later.startedAtMillis >= sentAtMillis
            && Math.abs(later.clockOffsetMillis - clockOffsetMillis) <= MAX_OFFSET_CHANGE_MILLIS;
    if (!sameClock || reserve <= 0) {
      return 0;
    }
    if (later.startedAtMillis < reserveOpensAtMillis) {
      return reserve;
    }
    long closedMillis = reserveOpensAtMillis + reserveOpeningMillis - later.startedAtMillis;
    return closedMillis <= 0 ? 0 : (long) ((double) reserve * closedMillis / reserveOpeningMillis);
  }

  /** Returns these times updated by a later report of the same incarnation. */
  IncarnationTimes updatedBy(IncarnationTimes newer) {
    return new IncarnationTimes(
        host,
        startedAtMillis,
        Math.max(sentAtMillis, newer.sentAtMillis),
        Math.max(reserveOpensAtMillis, newer.reserveOpensAtMillis),
        Math.min(reserveOpeningMillis, newer.reserveOpeningMillis),
        newer.clockOffsetMillis);
  }
}
