package org.goldcrestfall.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.goldcrestfall.wire.generated.Envelope;

/**
 * Receives replies on a connection that this side opened. A connection that stays silent after
 * something was written is probed and then closed, because TCP alone would go on for minutes after
 * a partition; a connection without use is closed too.
 */
final class OutboundHandler extends SimpleChannelInboundHandler<Envelope> {

  /** Interval of the read-idle events that drive the checks. */
  static final int IDLE_CHECK_MILLIS = 600;

  private static final int SILENT_CHECKS = 3;
  private static final int UNUSED_CHECKS = 100;

  private final OutboundConnection connection;
  private final String peerHost;
  private final FrameCodec codec;
  private int silent;
  private int unused;

  OutboundHandler(OutboundConnection connection, String peerHost, FrameCodec codec) {
    this.connection = connection;
    this.peerHost = peerHost;
    this.codec = codec;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext c) {
    connection.ready(c.channel());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext c, Envelope envelope) {
    silent = 0;
    if (!envelope.getBody().isEmpty()) {
      unused = 0;
    }
    if (!envelope.getSenderHost().equals(peerHost)) {
      codec.refuse(c, Refusal.UNAUTHENTICATED, "sender is not the proven host " + peerHost);
      return;
    }
    if (!envelope.getReply()) {
      codec.refuse(c, Refusal.MALFORMED, "a message that is not a reply");
      return;
    }
    try {
      connection.receive(envelope);
    } catch (InvalidProtocolBufferException e) {
      codec.refuse(c, Refusal.MALFORMED, e.getMessage());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext c, Object event) {
    if (!(event instanceof IdleStateEvent)) {
      return;
    }
    if (connection.unheard()) {
      silent++;
      unused = 0;
      if (silent >= SILENT_CHECKS) {
        c.close();
      } else {
        connection.probe();
      }
    } else if (!connection.hasCalls() && ++unused >= UNUSED_CHECKS) {
      c.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
    c.close();
  }
}
