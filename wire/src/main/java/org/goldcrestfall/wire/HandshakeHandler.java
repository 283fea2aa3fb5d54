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
 * Performs the mutual handshake on either side of a connection. The messages are the hello of the
 * initiator, the hello of the acceptor, the proof of the initiator and the proof of the acceptor.
 * The acceptor sends its proof only after it has verified that of the initiator. The handler then
 * replaces itself in the pipeline with the handler for messages.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<Envelope> {

  static final long TIMEOUT_MILLIS = 3000;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final PeerSettings settings;
  private final Handshake.Side side;
  private final FrameCodec codec;
  private final PeerHandlerFactory messageHandlerFactory;
  private final byte[] nonce = new byte[Handshake.NONCE_BYTES];
  private Handshake handshake;
  private String peerHost;

  /** Creates the handler for messages once the host name of the peer is authenticated. */
  @FunctionalInterface
  interface PeerHandlerFactory {
    SimpleChannelInboundHandler<Envelope> create(String peerHost);
  }

  HandshakeHandler(
      PeerSettings settings,
      Handshake.Side side,
      FrameCodec codec,
      PeerHandlerFactory messageHandlerFactory) {
    this.settings = settings;
    this.side = side;
    this.codec = codec;
    this.messageHandlerFactory = messageHandlerFactory;
    RANDOM.nextBytes(nonce);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.executor().schedule(() -> onTimeout(ctx), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (side == INITIATOR) {
      sendHello(ctx);
    }
  }

  private void onTimeout(ChannelHandlerContext ctx) {
    if (!ctx.isRemoved() && ctx.channel().isActive()) {
      codec.refuse(ctx, ConnectionRefusal.UNAUTHENTICATED, "handshake timed out");
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) {
    Body body;
    try {
      body = Body.parseFrom(envelope.getBody());
    } catch (InvalidProtocolBufferException e) {
      codec.refuse(ctx, ConnectionRefusal.MALFORMED, e.getMessage());
      return;
    }
    if (body.hasHello() && handshake == null) {
      receiveHello(ctx, body.getHello());
    } else if (body.hasProof() && handshake != null) {
      receiveProof(ctx, body.getProof());
    } else {
      codec.refuse(
          ctx, ConnectionRefusal.UNAUTHENTICATED, body.getKindCase() + " during the handshake");
    }
  }

  private void receiveHello(ChannelHandlerContext ctx, Hello hello) {
    if (!hello.getCluster().equals(settings.cluster())) {
      codec.refuse(ctx, ConnectionRefusal.WRONG_CLUSTER, "cluster " + hello.getCluster());
      return;
    }
    if (hello.getHost().isEmpty() || hello.getNonce().size() != Handshake.NONCE_BYTES) {
      codec.refuse(
          ctx,
          ConnectionRefusal.MALFORMED,
          "hello without a host name or with a nonce of the wrong length");
      return;
    }
    peerHost = hello.getHost();
    byte[] peerNonce = hello.getNonce().toByteArray();
    String ownHost = settings.host();
    if (side == INITIATOR) {
      handshake = new Handshake(settings.cluster(), ownHost, nonce, peerHost, peerNonce);
      sendProof(ctx);
    } else {
      handshake = new Handshake(settings.cluster(), peerHost, peerNonce, ownHost, nonce);
      sendHello(ctx);
    }
  }

  private void receiveProof(ChannelHandlerContext ctx, Proof proof) {
    Handshake.Side peerSide = side == INITIATOR ? ACCEPTOR : INITIATOR;
    if (!handshake.verify(settings.key(), peerSide, proof.getMac().toByteArray())) {
      codec.refuse(ctx, ConnectionRefusal.UNAUTHENTICATED, "invalid proof from " + peerHost);
      return;
    }
    if (side == ACCEPTOR) {
      sendProof(ctx);
    }
    codec.allowFullLengthFrames();
    ctx.pipeline().replace(this, "messages", messageHandlerFactory.create(peerHost));
  }

  private void sendHello(ChannelHandlerContext ctx) {
    Hello.Builder hello =
        Hello.newBuilder()
            .setHost(settings.host())
            .setNonce(ByteString.copyFrom(nonce))
            .setCluster(settings.cluster());
    send(ctx, Body.newBuilder().setHello(hello));
  }

  private void sendProof(ChannelHandlerContext ctx) {
    byte[] mac = handshake.computeProof(settings.key(), side);
    send(ctx, Body.newBuilder().setProof(Proof.newBuilder().setMac(ByteString.copyFrom(mac))));
  }

  private void send(ChannelHandlerContext ctx, Body.Builder body) {
    Envelope.Builder envelope = FrameCodec.envelope(body.build().toByteString());
    ctx.writeAndFlush(envelope.setSenderHost(settings.host()).build());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
