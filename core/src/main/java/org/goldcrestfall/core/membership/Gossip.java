package org.goldcrestfall.core.membership;

import java.util.List;

/**
 * Membership information that every message carries: the sender's own record, changes, or with
 * {@code full} all records, and a hash over the live members that the sender knows.
 */
public record Gossip(Member self, List<Member> members, boolean full, long digest) {

  /** Copies the list. */
  public Gossip {
    members = List.copyOf(members);
  }
}
