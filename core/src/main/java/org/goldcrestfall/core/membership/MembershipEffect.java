package org.goldcrestfall.core.membership;

/** An action that the caller of {@link Membership} has to perform. */
public sealed interface MembershipEffect {

  /** Sends a ping or ping request to {@code address}. */
  record Send(String address, MembershipMessage message) implements MembershipEffect {}

  /** Replies with {@code ack} to the request of {@code host} that has the same number. */
  record Reply(String host, MembershipMessage.Ack ack) implements MembershipEffect {}

  /** Notifies observers of a changed record; {@code before} is null for a new member. */
  record Changed(Member before, Member after) implements MembershipEffect {}
}
