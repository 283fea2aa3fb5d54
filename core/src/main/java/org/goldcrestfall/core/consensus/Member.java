package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A member of the group. The id is the host and a number that a host takes anew after it has lost
 * its disk, as {@code a1#4711}; a learner ({@code voter} is false) receives the log without a vote.
 */
public record Member(String id, String host, String address, boolean voter) {

  /** Checks the arguments. */
  public Member {
    checkArgument(!id.isEmpty(), "id must not be empty");
    checkArgument(
        (id + host + address).chars().noneMatch(c -> c == '\t' || c == '\n'),
        "id, host and address must not hold tabs or line feeds: %s %s %s",
        id,
        host,
        address);
  }

  /** Returns the same member with or without a vote. */
  public Member withVoter(boolean vote) {
    return new Member(id, host, address, vote);
  }
}
