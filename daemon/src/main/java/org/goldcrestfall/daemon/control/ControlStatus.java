package org.goldcrestfall.daemon.control;

import org.goldcrestfall.core.consensus.Members;
import org.goldcrestfall.core.consensus.Role;

/**
 * The status of a control member after its last processed event.
 *
 * @param leaderAddress the peer address of the leader, or an empty string if none is known
 * @param leaseUntilMillis the end of this member's leader lease in milliseconds of its clock, or 0
 *     if it does not lead
 * @param writable false while writes to the disk fail
 * @param diskFault the message of the current write failure, or an empty string if writes succeed
 * @param running false once the member was closed or stopped after an unexpected exception
 */
public record ControlStatus(
    String memberId,
    Role role,
    long term,
    String leaderAddress,
    long leaseUntilMillis,
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

  /**
   * Returns whether the member takes part in the group: it is a running voter, its disk is writable
   * and a leader is known.
   */
  public boolean isReady() {
    return running && writable && isVoter() && !leaderAddress.isEmpty();
  }
}
