package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A member of the group. The id consists of the host and a member number, as in {@code a1#4711}; a
 * host that has lost its disk joins under a new number. A learner ({@code voter} is false) receives
 * the log but has no vote.
 */
public record Member(String id, String host, String address, boolean voter) {

  /** Checks the arguments. */
  public Member {
    checkArgument(!id.isEmpty(), "id must not be empty");
    checkArgument(
        (id + host + address).chars().noneMatch(c -> c == '\t' || c == '\n'),
        "id, host and address must not contain tabs or line feeds: %s %s %s",
        id,
        host,
        address);
  }

  /** Returns this member as a voter or a learner. */
  public Member withVoter(boolean vote) {
    return new Member(id, host, address, vote);
  }
}
