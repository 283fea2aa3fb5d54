package org.goldcrestfall.core.membership;

/** What the caller of {@link Membership} has to do. */
public sealed interface MembershipEffect {

  /** Send a ping or ping request to an address. */
  record Send(String address, MembershipMessage message) implements MembershipEffect {}

  /** Reply to the request of {@code host} that has the number of the acknowledgement. */
  record Reply(String host, MembershipMessage.Ack ack) implements MembershipEffect {}

  /** Tell observers about a change; {@code before} is null for a new member. */
  record Changed(Member before, Member after) implements MembershipEffect {}
}
