package org.goldcrestfall.core.prepaid;

/**
 * The times that a router incarnation reports about itself, in milliseconds of the monotonic clock
 * of its host. That clock continues when a process is killed, and restarts when the host reboots.
 *
 * @param startedAt the start of the process
 * @param sentAt the time at which this report was sent
 * @param opensAt the time before which the incarnation uses only tokens that the ledger has opened
 * @param clockOffset wall clock minus monotonic clock; nearly constant until the host reboots
 */
public record RouterLife(String host, long startedAt, long sentAt, long opensAt, long clockOffset) {

  /**
   * Largest difference between the clock offsets of two incarnations that still use the same run of
   * the monotonic clock. Beyond it, the host may have rebooted or its wall clock may have been set.
   */
  private static final long MAX_OFFSET_CHANGE_MILLIS = 1_000;

  /**
   * Returns whether a later process on the host proves that this incarnation ended before {@link
   * #opensAt}: both use the same run of the monotonic clock, and the later one started before then.
   */
  boolean endedBeforeOpening(RouterLife later) {
    boolean sameClock =
        later.startedAt >= sentAt
            && Math.abs(later.clockOffset - clockOffset) <= MAX_OFFSET_CHANGE_MILLIS;
    return sameClock && later.startedAt < opensAt;
  }

  /** Returns these times updated by a later report of the same incarnation. */
  RouterLife updatedBy(RouterLife newer) {
    return new RouterLife(
        host,
        startedAt,
        Math.max(sentAt, newer.sentAt),
        Math.max(opensAt, newer.opensAt),
        newer.clockOffset);
  }
}
