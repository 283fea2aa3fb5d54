package org.goldcrestfall.daemon.control;

import org.goldcrestfall.core.consensus.Members;
import org.goldcrestfall.core.consensus.Role;

/**
 * A member as of its last event.
 *
 * @param leaderAddress the peer address of the leader, or an empty string
 * @param leaseUntil the end of the leader lease on this member's clock, or 0
 * @param writable false while the disk refuses writes
 * @param diskFault the last failure to write, or an empty string
 * @param running false after {@code close} or a fatal fault
 */
public record ControlStatus(
    String memberId,
    Role role,
    long term,
    String leaderAddress,
    long leaseUntil,
    long commitIndex,
    long lastIndex,
    Members members,
    boolean writable,
    String diskFault,
    boolean running) {

  /** Returns whether this member has a vote in the group. */
  public boolean isVoter() {
    return members.isVoter(memberId);
  }

  /** Returns whether the member takes part: it runs, its disk works and a leader is known. */
  public boolean isReady() {
    return running && writable && isVoter() && !leaderAddress.isEmpty();
  }
}
