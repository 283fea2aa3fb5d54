package org.goldcrestfall.core.membership;

/** A message of the membership protocol. */
public sealed interface MembershipMessage {

  /** Returns the number of the request; an acknowledgement has the number of its request. */
  long number();

  /** Returns the membership information that is piggybacked on the message. */
  Gossip gossip();

  /** Asks the receiver for an acknowledgement. */
  record Ping(long number, Gossip gossip) implements MembershipMessage {}

  /** Asks the receiver to ping the member at {@code targetAddress} on the sender's behalf. */
  record PingRequest(long number, String targetAddress, Gossip gossip)
      implements MembershipMessage {}

  /**
   * Replies to a ping, or to a ping request once its target has replied or timed out. {@code
   * reached} is false only after such a timeout.
   */
  record Ack(long number, boolean reached, Gossip gossip) implements MembershipMessage {}
}
