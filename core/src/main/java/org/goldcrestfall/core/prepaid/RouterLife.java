package org.goldcrestfall.core.prepaid;

/**
 * What a router incarnation says of its own time, all by the steady clock of its host in
 * milliseconds. That clock goes on when a process is killed, and begins anew when the host does.
 *
 * @param startedAt the start of the process
 * @param sentAt when this was sent
 * @param opensAt before this time the incarnation uses only tokens that the ledger has opened
 * @param clockOffset wall clock less steady clock; about the same while the host runs
 */
public record RouterLife(String host, long startedAt, long sentAt, long opensAt, long clockOffset) {

  /** A wall clock that was set by more proves nothing about the steady clock. */
  private static final long MAX_OFFSET_CHANGE_MILLIS = 1_000;

  /**
   * Returns whether a later process on the host shows that this incarnation ended before {@link
   * #opensAt}: both use one run of the steady clock, and the later one started before that time.
   */
  boolean endedBeforeOpening(RouterLife later) {
    boolean sameClock =
        later.startedAt >= sentAt
            && Math.abs(later.clockOffset - clockOffset) <= MAX_OFFSET_CHANGE_MILLIS;
    return sameClock && later.startedAt < opensAt;
  }

  /** Returns this life with what a later message of the same incarnation says. */
  RouterLife updatedBy(RouterLife newer) {
    return new RouterLife(
        host,
        startedAt,
        Math.max(sentAt, newer.sentAt),
        Math.max(opensAt, newer.opensAt),
        newer.clockOffset);
  }
}
