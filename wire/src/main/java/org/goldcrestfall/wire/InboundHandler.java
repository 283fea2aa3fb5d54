package org.goldcrestfall.wire;

import com.google.common.base.Strings;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Envelope;
import org.goldcrestfall.wire.generated.Failure;

/**
 * Serves an authenticated connection that a peer opened: dispatches messages to their handlers and
 * writes the replies. Reading is suspended while the send buffer is full because the peer does not
 * read its replies.
 */
final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String host;
  private final LongSupplier boot;
  private final String peerHost;
  private final FrameCodec codec;
  private final Function<Body.KindCase, PeerTransport.Handler> handlers;

  InboundHandler(
      String host,
      LongSupplier boot,
      String peerHost,
      FrameCodec codec,
      Function<Body.KindCase, PeerTransport.Handler> handlers) {
    this.host = host;
    this.boot = boot;
    this.peerHost = peerHost;
    this.codec = codec;
    this.handlers = handlers;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) {
    if (!envelope.getSenderHost().equals(peerHost)) {
      codec.refuse(
          ctx,
          ConnectionRefusal.UNAUTHENTICATED,
          "sender host differs from the authenticated host " + peerHost);
      return;
    }
    if (envelope.getBody().isEmpty()) {
      // An empty message is a keep-alive check of the initiator, which expects an empty reply.
      reply(ctx, 0, ByteString.EMPTY);
      return;
    }
    Body body;
    Incarnation sender;
    try {
      body = Body.parseFrom(envelope.getBody());
      sender = new Incarnation(peerHost, envelope.getSenderBoot());
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      codec.refuse(ctx, ConnectionRefusal.MALFORMED, e.getMessage());
      return;
    }
    long callId = envelope.getCallId();
    CompletableFuture<Body> result = dispatch(sender, body);
    if (callId != 0) {
      result.whenComplete(
          (b, e) -> reply(ctx, callId, replaceIfTooLong(toReply(b, e)).toByteString()));
    }
  }

  private CompletableFuture<Body> dispatch(Incarnation sender, Body body) {
    PeerTransport.Handler handler = handlers.apply(body.getKindCase());
    if (handler == null) {
      return CompletableFuture.failedFuture(
          new RemoteFailure("no_handler", "no handler for " + body.getKindCase()));
    }
    try {
      CompletableFuture<Body> result = handler.handle(sender, body);
      return result == null ? CompletableFuture.completedFuture(null) : result;
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log(
          "peer: handler of %s failed", body.getKindCase());
      return CompletableFuture.failedFuture(e);
    }
  }

  private static Body toReply(Body body, Throwable error) {
    if (body != null) {
      return body;
    }
    Throwable cause =
        error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
    Failure.Builder failure = Failure.newBuilder();
    if (cause == null) {
      failure.setKind("no_reply").setMessage("handler returned no reply");
    } else if (cause instanceof RemoteFailure f) {
      failure.setKind(f.kind()).setMessage(Strings.nullToEmpty(f.getMessage()));
    } else {
      failure.setKind("handler_failed").setMessage(cause.toString());
    }
    return Body.newBuilder().setFailure(failure).build();
  }

  /**
   * Replaces a reply that does not fit into a frame, so that the caller does not take it for lost.
   */
  private static Body replaceIfTooLong(Body reply) {
    int size = reply.getSerializedSize();
    return size <= FrameCodec.MAX_BODY_BYTES
        ? reply
        : toReply(null, new RemoteFailure("reply_too_long", "reply of " + size + " bytes"));
  }

  private void reply(ChannelHandlerContext ctx, long callId, ByteString body) {
    Envelope.Builder envelope = FrameCodec.envelope(body);
    envelope.setSenderHost(host).setSenderBoot(boot.getAsLong());
    ctx.writeAndFlush(envelope.setCallId(callId).setReply(true).setLast(true).build());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(ctx.channel().isWritable());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      ctx.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
