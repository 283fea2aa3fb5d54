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
    return durableCopies > 1;
  }

  /**
   * Returns the smallest number of voters that still have a quorum after the loss of as many disks
   * as acknowledged commands survive.
   */
  int minVoters() {
    return 2 * durableCopies - 1;
  }
}
