package org.goldcrestfall.core.membership;

import java.util.List;

/**
 * Membership information that every message carries.
 *
 * @param self the sender's own record
 * @param members records of other members: recent changes, or all records if {@code full} is set
 * @param full whether this is a full exchange of all records
 * @param digest hash of the live members that the sender knows
 */
public record Gossip(Member self, List<Member> members, boolean full, long digest) {

  /** Copies the list of members. */
  public Gossip {
    members = List.copyOf(members);
  }
}
