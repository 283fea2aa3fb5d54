package org.goldcrestfall.daemon.peer;

import static com.google.common.base.Preconditions.checkArgument;

import org.goldcrestfall.core.membership.Gossip;
import org.goldcrestfall.core.membership.Member;
import org.goldcrestfall.core.membership.MembershipMessage;
import org.goldcrestfall.core.membership.MembershipMessage.Ack;
import org.goldcrestfall.core.membership.MembershipMessage.Ping;
import org.goldcrestfall.core.membership.MembershipMessage.PingRequest;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.MemberUpdate;

/**
 * Encodes and decodes messages of the membership protocol. Decoding throws {@link
 * IllegalArgumentException} if a field of the message is invalid.
 */
final class MembershipCodec {

  private static final Member.Status[] STATUSES = Member.Status.values();

  private MembershipCodec() {}

  static Body write(
      MembershipMessage message, org.goldcrestfall.wire.generated.Gossip.Builder gossip) {
    addMembers(message.gossip(), gossip);
    Body.Builder body = Body.newBuilder();
    long number = message.number();
    if (message instanceof PingRequest r) {
      var request = org.goldcrestfall.wire.generated.PingRequest.newBuilder().setNumber(number);
      body.setPingRequest(request.setTargetAddress(r.targetAddress()).setGossip(gossip));
    } else if (message instanceof Ack a) {
      var ack = org.goldcrestfall.wire.generated.Ack.newBuilder().setNumber(number);
      body.setAck(ack.setReached(a.reached()).setGossip(gossip));
    } else {
      var ping = org.goldcrestfall.wire.generated.Ping.newBuilder().setNumber(number);
      body.setPing(ping.setGossip(gossip));
    }
    return body.build();
  }

  static MembershipMessage read(Body body) {
    switch (body.getKindCase()) {
      case PING:
        return new Ping(body.getPing().getNumber(), gossip(body.getPing().getGossip()));
      case PING_REQUEST:
        var r = body.getPingRequest();
        return new PingRequest(r.getNumber(), r.getTargetAddress(), gossip(r.getGossip()));
      case ACK:
        var a = body.getAck();
        return new Ack(a.getNumber(), a.getReached(), gossip(a.getGossip()));
      default:
        throw new IllegalArgumentException("not a membership message: " + body.getKindCase());
    }
  }

  /** Returns the gossip in a message. */
  static org.goldcrestfall.wire.generated.Gossip gossipOf(Body body) {
    switch (body.getKindCase()) {
      case PING:
        return body.getPing().getGossip();
      case PING_REQUEST:
        return body.getPingRequest().getGossip();
      case ACK:
        return body.getAck().getGossip();
      default:
        return body.getGossip();
    }
  }

  private static void addMembers(
      Gossip g, org.goldcrestfall.wire.generated.Gossip.Builder builder) {
    builder.setSelf(update(g.self())).setFull(g.full()).setDigest(g.digest());
    g.members().forEach(m -> builder.addMembers(update(m)));
  }

  static void addSelf(Member self, org.goldcrestfall.wire.generated.Gossip.Builder builder) {
    builder.setSelf(update(self));
  }

  private static Gossip gossip(org.goldcrestfall.wire.generated.Gossip g) {
    var members = g.getMembersList().stream().map(MembershipCodec::member).toList();
    return new Gossip(member(g.getSelf()), members, g.getFull(), g.getDigest());
  }

  private static MemberUpdate update(Member m) {
    return MemberUpdate.newBuilder()
        .setHost(m.host())
        .setBoot(m.boot())
        .setCounter(m.counter())
        .setState(m.status().ordinal())
        .setAddress(m.address())
        .setZone(m.zone())
        .setConfigRevision(m.configRevision())
        .build();
  }

  private static Member member(MemberUpdate u) {
    int state = u.getState();
    checkArgument(state >= 0 && state < STATUSES.length, "unknown member state %s", state);
    return new Member(
        u.getHost(),
        u.getBoot(),
        u.getCounter(),
        STATUSES[state],
        u.getAddress(),
        u.getZone(),
        u.getConfigRevision());
  }
}
