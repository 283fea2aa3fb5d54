package org.goldcrestfall.core.consensus;

/** The part that a member plays in its term. */
public enum Role {
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
