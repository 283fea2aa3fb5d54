package org.goldcrestfall.wire;

import static org.goldcrestfall.wire.Handshake.Side.ACCEPTOR;
import static org.goldcrestfall.wire.Handshake.Side.INITIATOR;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Envelope;
import org.goldcrestfall.wire.generated.Hello;
import org.goldcrestfall.wire.generated.Proof;

/**
 * Runs the mutual handshake on either side of a connection: hello, hello, proof of the initiator,
 * proof of the acceptor. The acceptor proves itself only to an initiator that has the key. The
 * handler then replaces itself by the one for messages.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<Envelope> {

  static final long TIMEOUT_MILLIS = 3000;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final PeerSettings settings;
  private final Handshake.Side side;
  private final FrameCodec codec;
  private final PeerHandlerFactory next;
  private final byte[] nonce = new byte[Handshake.NONCE_BYTES];
  private Handshake handshake;
  private String peerHost;

  /** Creates the handler for messages once the host name of the peer is proven. */
  @FunctionalInterface
  interface PeerHandlerFactory {
    SimpleChannelInboundHandler<Envelope> create(String peerHost);
  }

  HandshakeHandler(
      PeerSettings settings, Handshake.Side side, FrameCodec codec, PeerHandlerFactory next) {
    this.settings = settings;
    this.side = side;
    this.codec = codec;
    this.next = next;
    RANDOM.nextBytes(nonce);
  }

  @Override
  public void channelActive(ChannelHandlerContext c) {
    c.executor().schedule(() -> expire(c), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (side == INITIATOR) {
      sendHello(c);
    }
  }

  private void expire(ChannelHandlerContext c) {
    if (!c.isRemoved() && c.channel().isActive()) {
      codec.refuse(c, Refusal.UNAUTHENTICATED, "handshake timed out");
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext c, Envelope envelope) {
    Body body;
    try {
      body = Body.parseFrom(envelope.getBody());
    } catch (InvalidProtocolBufferException e) {
      codec.refuse(c, Refusal.MALFORMED, e.getMessage());
      return;
    }
    if (body.hasHello() && handshake == null) {
      receiveHello(c, body.getHello());
    } else if (body.hasProof() && handshake != null) {
      receiveProof(c, body.getProof());
    } else {
      codec.refuse(c, Refusal.UNAUTHENTICATED, body.getKindCase() + " before the handshake");
    }
  }

  private void receiveHello(ChannelHandlerContext c, Hello hello) {
    if (!hello.getCluster().equals(settings.cluster())) {
      codec.refuse(c, Refusal.WRONG_CLUSTER, "cluster " + hello.getCluster());
      return;
    }
    if (hello.getHost().isEmpty() || hello.getNonce().size() != Handshake.NONCE_BYTES) {
      codec.refuse(c, Refusal.MALFORMED, "hello without host name or nonce");
      return;
    }
    peerHost = hello.getHost();
    byte[] peerNonce = hello.getNonce().toByteArray();
    String own = settings.host();
    if (side == INITIATOR) {
      handshake = new Handshake(settings.cluster(), own, nonce, peerHost, peerNonce);
      sendProof(c);
    } else {
      handshake = new Handshake(settings.cluster(), peerHost, peerNonce, own, nonce);
      sendHello(c);
    }
  }

  private void receiveProof(ChannelHandlerContext c, Proof proof) {
    Handshake.Side peer = side == INITIATOR ? ACCEPTOR : INITIATOR;
    if (!handshake.verify(settings.key(), peer, proof.getMac().toByteArray())) {
      codec.refuse(c, Refusal.UNAUTHENTICATED, "wrong proof from " + peerHost);
      return;
    }
    if (side == ACCEPTOR) {
      sendProof(c);
    }
    codec.liftLimit();
    c.pipeline().replace(this, "messages", next.create(peerHost));
  }

  private void sendHello(ChannelHandlerContext c) {
    Hello.Builder hello =
        Hello.newBuilder()
            .setHost(settings.host())
            .setNonce(ByteString.copyFrom(nonce))
            .setCluster(settings.cluster());
    send(c, Body.newBuilder().setHello(hello));
  }

  private void sendProof(ChannelHandlerContext c) {
    byte[] mac = handshake.prove(settings.key(), side);
    send(c, Body.newBuilder().setProof(Proof.newBuilder().setMac(ByteString.copyFrom(mac))));
  }

  private void send(ChannelHandlerContext c, Body.Builder body) {
    Envelope.Builder envelope = FrameCodec.envelope(body.build().toByteString());
    c.writeAndFlush(envelope.setSenderHost(settings.host()).build());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
    c.close();
  }
}
