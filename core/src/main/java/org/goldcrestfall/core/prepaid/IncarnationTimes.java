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
 * @param leaderSentAt a reading that the leader's clocks had passed when this report was sent
 */
public record IncarnationTimes(
    String host,
    long startedAtMillis,
    long sentAtMillis,
    long reserveOpensAtMillis,
    long reserveOpeningMillis,
    long clockOffsetMillis,
    LeaderTime leaderSentAt) {

  /**
   * Largest difference between the clock offsets of two incarnations that still use the same run of
   * the monotonic clock. Beyond it, the host may have rebooted or its wall clock may have been set.
   */
  private static final long MAX_OFFSET_CHANGE_MILLIS = 1_000;

  /**
   * Returns how many tokens of a reserve this incarnation cannot have opened, given the first
   * renewal of a later process on its host, before which this incarnation had ended.
   *
   * @param proposedAt the leader's clocks when it proposed that renewal
   */
  long provablyUnopened(long reserve, IncarnationTimes later, LeaderTime proposedAt) {
    long openingMillis =
        Math.min(openingMillisByHostClock(later), openingMillisByLeaderClock(proposedAt));
    if (openingMillis < 0) {
      return Math.max(0, reserve);
    }
    long closedMillis = reserveOpeningMillis - openingMillis;
    if (reserve <= 0 || closedMillis <= 0) {
      return 0;
    }
    return (long) ((double) reserve * closedMillis / reserveOpeningMillis);
  }

  /**
   * Returns an upper bound of the time for which the reserve was being opened until the later
   * process started: negative if it was not, {@link LeaderTime#UNKNOWN} if the monotonic clock of
   * the host has been reset since.
   */
  private long openingMillisByHostClock(IncarnationTimes later) {
    boolean sameClock =
        later.startedAtMillis >= sentAtMillis
            && Math.abs(later.clockOffsetMillis - clockOffsetMillis) <= MAX_OFFSET_CHANGE_MILLIS;
    return sameClock ? later.startedAtMillis - reserveOpensAtMillis : LeaderTime.UNKNOWN;
  }

  /** Returns the same bound by the clock of a leader, which outlives a power loss of the host. */
  private long openingMillisByLeaderClock(LeaderTime proposedAt) {
    long livedMillis = leaderSentAt.millisUntil(proposedAt);
    return livedMillis == LeaderTime.UNKNOWN
        ? LeaderTime.UNKNOWN
        : livedMillis - (reserveOpensAtMillis - sentAtMillis);
  }

  /** Returns these times updated by a later report of the same incarnation. */
  IncarnationTimes updatedBy(IncarnationTimes newer) {
    return new IncarnationTimes(
        host,
        startedAtMillis,
        Math.max(sentAtMillis, newer.sentAtMillis),
        Math.max(reserveOpensAtMillis, newer.reserveOpensAtMillis),
        Math.min(reserveOpeningMillis, newer.reserveOpeningMillis),
        newer.clockOffsetMillis,
        newer.leaderSentAt);
  }
}
