package org.goldcrestfall.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.goldcrestfall.wire.generated.Envelope;

/**
 * Receives replies on a connection that this side opened. If nothing is received after a write, the
 * handler sends keep-alive messages and then closes the connection, because TCP alone would keep it
 * open for minutes after a network partition. A connection that is not used is closed, too.
 */
final class OutboundHandler extends SimpleChannelInboundHandler<Envelope> {

  /** Interval of the read-idle events that trigger the checks. */
  static final int IDLE_CHECK_MILLIS = 600;

  /** Consecutive checks without input since a write, at which the connection is closed. */
  private static final int MAX_SILENT_CHECKS = 3;

  /** Consecutive checks, over 60 s, that find the connection unused, at which it is closed. */
  private static final int MAX_UNUSED_CHECKS = 100;

  private final OutboundConnection connection;
  private final String peerHost;
  private final FrameCodec codec;
  private int silentChecks;
  private int unusedChecks;

  OutboundHandler(OutboundConnection connection, String peerHost, FrameCodec codec) {
    this.connection = connection;
    this.peerHost = peerHost;
    this.codec = codec;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    connection.handshakeCompleted(ctx.channel());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) {
    silentChecks = 0;
    if (!envelope.getBody().isEmpty()) {
      unusedChecks = 0;
    }
    if (!envelope.getSenderHost().equals(peerHost)) {
      codec.refuse(
          ctx,
          ConnectionRefusal.UNAUTHENTICATED,
          "sender host differs from the authenticated host " + peerHost);
      return;
    }
    if (!envelope.getReply()) {
      codec.refuse(ctx, ConnectionRefusal.MALFORMED, "message that is not a reply");
      return;
    }
    try {
      connection.receive(envelope);
    } catch (InvalidProtocolBufferException e) {
      codec.refuse(ctx, ConnectionRefusal.MALFORMED, e.getMessage());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof IdleStateEvent)) {
      return;
    }
    if (connection.silentSinceWrite()) {
      silentChecks++;
      unusedChecks = 0;
      if (silentChecks >= MAX_SILENT_CHECKS) {
        ctx.close();
      } else {
        connection.sendKeepAlive();
      }
    } else if (!connection.hasCallsInFlight() && ++unusedChecks >= MAX_UNUSED_CHECKS) {
      ctx.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
