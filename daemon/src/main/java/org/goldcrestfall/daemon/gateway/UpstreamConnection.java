package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A connection to an upstream, used for one request at a time. It is reused only if the end of the
 * last response was unambiguous and no byte has followed it. A response that carries the id of
 * another request is skipped. Confined to the router's event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d+)");

  /** Idle timeout for upstreams that do not state one in a Keep-Alive header. */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

  /**
   * Time before the upstream's own idle timeout at which a connection is closed, so that no request
   * is on its way when the upstream closes it.
   */
  private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

  /** Length from which on the rest of a response to another request is not read any more. */
  private static final long MAX_SKIPPED_BYTES = 1 << 20;

  /** Number of responses to other requests from which on an upstream is taken to be faulty. */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /**
   * Receives the response to one request. Unless the request is cancelled, the last call is exactly
   * one of {@link #onEnd} and {@link #onFailure}.
   */
  interface Receiver {

    /** The head of the response has arrived. */
    void onHead(HttpResponse head);

    /** A part of the body has arrived; the receiver must retain it to keep it. */
    void onBody(ByteBuf body);

    /** All bytes that have arrived so far have been delivered. */
    void onReadComplete();

    /** The response is complete. */
    void onEnd();

    /**
     * The connection failed before the response was complete, or the response cannot be used.
     *
     * @param noBytesReceived whether the connection was closed before any byte of a response
     */
    void onFailure(String reason, boolean noBytesReceived);
  }

  private final Upstream upstream;
  private final UpstreamConnections connections;
  private final ResponseDecoder decoder;
  private Channel channel;
  private Receiver receiver;
  private String requestId = "";
  private ChannelFuture requestWritten;
  private boolean skippingResponse;
  private long skippedBytes;
  private int skippedResponses;
  private boolean headReceived;
  private boolean endsWithConnection;
  private boolean responseComplete;
  private boolean reusable;
  private boolean reused;
  private boolean channelFailed;
  private boolean bytesReceived;
  private long openedAtMillis;
  private long idleSinceMillis;
  private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;

  UpstreamConnection(Upstream upstream, UpstreamConnections connections, ResponseDecoder decoder) {
    this.upstream = upstream;
    this.connections = connections;
    this.decoder = decoder;
  }

  Upstream upstream() {
    return upstream;
  }

  /** Returns the time at which the connection was established. */
  long openedAtMillis() {
    return openedAtMillis;
  }

  @Override
  public void channelActive(ChannelHandlerContext c) {
    openedAtMillis = connections.now();
    upstream.onConnectionEstablished(this);
    c.fireChannelActive();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext c) {
    channel = c.channel();
  }

  /** Sends and releases a request. */
  void send(FullHttpRequest request, String id, Receiver responseReceiver) {
    receiver = responseReceiver;
    requestId = id;
    headReceived = false;
    endsWithConnection = false;
    responseComplete = false;
    skippingResponse = false;
    skippedBytes = 0;
    skippedResponses = 0;
    bytesReceived = false;
    decoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
    requestWritten = channel.writeAndFlush(request);
  }

  /**
   * Pauses or resumes reading, to match the speed at which the caller reads its response. Has no
   * effect after the end of the response, when the connection may already serve another caller.
   */
  void setReading(boolean reading) {
    if (receiver != null) {
      channel.config().setAutoRead(reading);
    }
  }

  /** Cancels the request: the upstream drops it when the connection closes. */
  void cancel() {
    receiver = null;
    close();
  }

  void close() {
    channel.close();
  }

  boolean isUsable(long nowMillis) {
    return channel.isActive()
        && receiver == null
        && !decoder.hasUnreadBytes()
        && nowMillis - idleSinceMillis < idleTimeoutMillis;
  }

  @Override
  public void channelRead(ChannelHandlerContext c, Object message) {
    try {
      if (receiver == null) {
        // No request is in flight, so the bytes are unexpected.
        close();
        return;
      }
      bytesReceived = true;
      upstream.load().onBytes(connections.now());
      if (message instanceof HttpResponse head) {
        onResponseHead(head);
      }
      if (message instanceof HttpContent content && receiver != null) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onResponseHead(HttpResponse head) {
    if (head.decoderResult().isFailure() || headReceived) {
      fail("malformed or unexpected response head");
      return;
    }
    int status = head.status().code();
    if (status < 200 || status > 599) {
      fail("status " + status + " is not that of a final response");
      return;
    }
    GatewayHeaderNames headerNames = connections.headerNames();
    if (ResponseHeads.isJoined(head, List.of(headerNames.requestId(), headerNames.signature()))) {
      fail("the head consists of parts of two responses");
      return;
    }
    String id = head.headers().get(headerNames.requestId());
    skippingResponse = id != null && !id.equals(requestId);
    if (skippingResponse) {
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "upstream: %s sent a response to request %s while %s is in flight",
          upstream.entry().id(), id, requestId);
      if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
        fail("more than " + MAX_SKIPPED_RESPONSES + " responses to other requests");
      }
      return;
    }
    if (id == null && (head.status().code() < 300 || reused && !requestId.isEmpty())) {
      // On a connection that was used before, it may be a copy of the response to an earlier
      // request.
      fail("the response has no request id");
      return;
    }
    headReceived = true;
    endsWithConnection = !ResponseHeads.hasDefinedLength(head);
    reusable = HttpUtil.isKeepAlive(head) && !endsWithConnection;
    readKeepAliveTimeout(head);
    receiver.onHead(head);
  }

  private void readKeepAliveTimeout(HttpResponse head) {
    String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
    Matcher m = value == null ? null : KEEP_ALIVE_TIMEOUT.matcher(value);
    if (m != null && m.find() && m.group(1).length() < 6) {
      idleTimeoutMillis =
          Math.max(0, Integer.parseInt(m.group(1)) * 1_000L - IDLE_TIMEOUT_MARGIN_MILLIS);
    }
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (content.decoderResult().isFailure() || last && isBrokenOff()) {
      fail("malformed or truncated response body");
      return;
    }
    if (skippingResponse) {
      skippingResponse = !last;
      skippedBytes += content.content().readableBytes();
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        fail("a response to another request is longer than " + MAX_SKIPPED_BYTES + " bytes");
      }
      return;
    }
    if (!headReceived || responseComplete) {
      fail("unexpected bytes after the response");
      return;
    }
    if (content.content().isReadable()) {
      receiver.onBody(content.content());
    }
    if (last && receiver != null) {
      responseComplete = true;
    }
  }

  /**
   * Returns whether the end of the connection is no end of the response. A reset is reported to the
   * first call that notices it; if that is a write of the request, the channel just closes.
   */
  private boolean isBrokenOff() {
    return channelFailed || endsWithConnection && !requestWritten.isSuccess();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext c) {
    if (receiver == null) {
      return;
    }
    if (!responseComplete) {
      receiver.onReadComplete();
      return;
    }
    Receiver completed = receiver;
    receiver = null;
    // An upstream may respond before it has read the whole request, and read the rest later.
    if (reusable
        && !decoder.hasUnreadBytes()
        && !mayHaveUnreadBytes()
        && requestWritten.isSuccess()
        && upstream.isReady()) {
      idleSinceMillis = connections.now();
      reused = true;
      channel.config().setAutoRead(true);
      connections.release(this);
    } else {
      close();
    }
    completed.onEnd();
  }

  /** Returns whether the last read filled its buffer, so that more bytes may have arrived. */
  private boolean mayHaveUnreadBytes() {
    RecvByteBufAllocator.Handle reads = channel.unsafe().recvBufAllocHandle();
    return reads.lastBytesRead() == reads.attemptedBytesRead();
  }

  private void fail(String reason) {
    if (responseComplete && receiver != null) {
      // The response is complete; the bytes after it only prevent reuse of the connection.
      reusable = false;
      return;
    }
    Receiver current = receiver;
    receiver = null;
    close();
    if (current != null) {
      current.onFailure(reason, false);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
    // Netty reports the end of input after this; it must not complete a response without a length.
    channelFailed = true;
    if (!(cause instanceof IOException)) {
      logger.atSevere().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
          "upstream: closing a connection to %s after an unexpected exception",
          upstream.entry().id());
    }
    fail(String.valueOf(cause.getMessage()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext c) {
    upstream.recordOpenConnection(connections.now());
    upstream.onConnectionClosed(this);
    Receiver current = receiver;
    receiver = null;
    if (current == null) {
      connections.onIdleConnectionClosed(upstream);
      return;
    }
    if (responseComplete) {
      current.onEnd();
    } else {
      current.onFailure("the connection was closed before the end of the response", !bytesReceived);
    }
  }
}
