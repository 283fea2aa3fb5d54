package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a group treats its members and its promises.
 *
 * @param copies a command is acknowledged once so many members, learners included, have it on disk,
 *     even where a smaller number is a quorum
 * @param leaseReads whether a leader may answer reads within its lease; not safe where the clock
 *     stands still while a host is suspended
 * @param open whether any host may join and becomes a voter, and a voter that is lost is removed
 *     when another one has taken its place
 */
public record GroupPolicy(int copies, boolean leaseReads, boolean open) {

  /** A group of the hosts in the settings, on clocks that never stop. */
  public static final GroupPolicy FIXED = new GroupPolicy(1, true, false);

  /** Checks the arguments. */
  public GroupPolicy {
    checkArgument(copies > 0, "copies must be positive: %s", copies);
  }

  /** Returns the policy of a group that forms itself and loses nothing with so many disks. */
  public static GroupPolicy selfForming(int lostDisks) {
    return new GroupPolicy(lostDisks + 1, false, true);
  }
}
