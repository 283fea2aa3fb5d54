package org.goldcrestfall.core.membership;

/** A message of the membership protocol. */
public sealed interface MembershipMessage {

  /** Returns the number that relates an acknowledgement to its request. */
  long number();

  /** Returns the piggybacked information. */
  Gossip gossip();

  /** Asks the receiver for an acknowledgement. */
  record Ping(long number, Gossip gossip) implements MembershipMessage {}

  /** Asks the receiver to ping the member at {@code targetAddress} on the sender's behalf. */
  record PingRequest(long number, String targetAddress, Gossip gossip)
      implements MembershipMessage {}

  /** Replies to a ping, or to a ping request once its target has replied or not. */
  record Ack(long number, boolean reached, Gossip gossip) implements MembershipMessage {}
}
