package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Rules for the acknowledgements, reads and membership of a group.
 *
 * @param durableCopies the number of members, learners included, that must have a command on disk
 *     before it is acknowledged, even if a quorum is smaller
 * @param leaseReads whether a leader may answer reads within its lease; this is unsafe if the clock
 *     stops while a host is suspended
 * @param openMembership whether any host may join and become a voter, and a lost voter is removed
 *     once another host has replaced it
 */
public record GroupPolicy(int durableCopies, boolean leaseReads, boolean openMembership) {

  /** The policy of a group of configured hosts whose clocks never stop. */
  public static final GroupPolicy FIXED = new GroupPolicy(1, true, false);

  /** Checks the arguments. */
  public GroupPolicy {
    checkArgument(durableCopies > 0, "durableCopies must be positive: %s", durableCopies);
  }

  /**
   * Returns the policy of a group that any host may join and that loses no acknowledged command if
   * {@code lostDisks} members lose their disks at once.
   */
  public static GroupPolicy openGroup(int lostDisks) {
    return new GroupPolicy(lostDisks + 1, false, true);
  }

  /** Returns whether a disk may be lost without loss of acknowledged commands. */
  boolean bearsLostDisks() {
    return bornLosses() > 0;
  }

  /** Returns the number of disks that may be lost without loss of acknowledged commands. */
  private int bornLosses() {
    return durableCopies - 1;
  }

  /**
   * Returns how many voters elect a leader, commit an entry or confirm a read.
   *
   * <p>A majority suffices for a group that bears no lost disks or has no more voters than it
   * needs. A larger group has voters whose hosts may be removed at any time and without notice. All
   * voters but those that may lose their disks then decide, if that is more than a majority. Voters
   * that are known to have lost their disks reduce that number as far as any two quorums still
   * share a voter.
   *
   * @param voters the number of voters
   * @param lostDisks the number of these voters that are known to have lost their disks
   * @param protocol the {@link ProtocolVersion} of the member list
   */
  int quorumSize(int voters, int lostDisks, int protocol) {
    int majority = voters / 2 + 1;
    if (!bearsLostDisks() || voters <= minVoters()) {
      return majority;
    }
    boolean allButLost =
        protocol >= ProtocolVersion.JOINT_CHANGES && voters <= minVoters() + bornLosses();
    int size = allButLost ? voters - bornLosses() : majority;
    return size - Math.min(lostDisks, Math.min(bornLosses(), 2 * size - voters - 1));
  }

  /**
   * Returns the smallest number of voters that still have a quorum after the loss of as many disks
   * as acknowledged commands survive.
   */
  int minVoters() {
    return 2 * durableCopies - 1;
  }
}
