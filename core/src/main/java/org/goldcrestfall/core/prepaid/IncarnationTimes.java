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
 * @param clockOffsetMillis wall clock minus monotonic clock; nearly constant until the host reboots
 */
public record IncarnationTimes(
    String host,
    long startedAtMillis,
    long sentAtMillis,
    long reserveOpensAtMillis,
    long clockOffsetMillis) {

  /**
   * Largest difference between the clock offsets of two incarnations that still use the same run of
   * the monotonic clock. Beyond it, the host may have rebooted or its wall clock may have been set.
   */
  private static final long MAX_OFFSET_CHANGE_MILLIS = 1_000;

  /**
   * Returns whether a later process on the host proves that this incarnation ended before {@link
   * #reserveOpensAtMillis}: both use the same run of the monotonic clock, and the later one started
   * before then.
   */
  boolean endedBeforeOpening(IncarnationTimes later) {
    boolean sameClock =
        later.startedAtMillis >= sentAtMillis
            && Math.abs(later.clockOffsetMillis - clockOffsetMillis) <= MAX_OFFSET_CHANGE_MILLIS;
    return sameClock && later.startedAtMillis < reserveOpensAtMillis;
  }

  /** Returns these times updated by a later report of the same incarnation. */
  IncarnationTimes updatedBy(IncarnationTimes newer) {
    return new IncarnationTimes(
        host,
        startedAtMillis,
        Math.max(sentAtMillis, newer.sentAtMillis),
        Math.max(reserveOpensAtMillis, newer.reserveOpensAtMillis),
        newer.clockOffsetMillis);
  }
}
