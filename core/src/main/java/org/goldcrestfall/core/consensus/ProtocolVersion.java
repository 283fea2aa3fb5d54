package org.goldcrestfall.core.consensus;

/**
 * The versions of the consensus protocol. The newest member list names the version that a group
 * runs. The leader raises it once all members have told it that they support a newer one.
 */
public final class ProtocolVersion {

  /** The first version: a member list differs from the one before it in one voter. */
  public static final int SINGLE_CHANGES = 1;

  /**
   * A member list may differ from the one before it in any number of voters, and the quorum of a
   * group that bears lost disks depends on how many are known; see {@link GroupPolicy#quorumSize}.
   */
  public static final int JOINT_CHANGES = 2;

  /**
   * Prompt parts that crash upstreams are found by all lost answers, not only by those that had not
   * begun; see {@link org.goldcrestfall.core.quarantine.PartQuarantine}.
   */
  public static final int COUNTED_LOSSES = 3;

  /** The newest version that this build supports. */
  public static final int NEWEST = COUNTED_LOSSES;

  private ProtocolVersion() {}
}
