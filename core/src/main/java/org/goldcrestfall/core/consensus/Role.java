package org.goldcrestfall.core.consensus;

/** The Raft role of a member in its current term. */
public enum Role {
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
