package org.goldcrestfall.core.consensus;

/** What has become of a member's wish to leave its group. */
public enum Departure {
  /** The member is not in the list any more, and no later leader can go by a list that has it. */
  DONE,
  /** The change of the member list is under way. */
  PENDING,
  /** The group needs the member's vote; the member keeps it while it is down. */
  REFUSED,
  /** The answering member does not lead the group. */
  UNKNOWN
}
