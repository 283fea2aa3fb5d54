package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A connection to an upstream, used for one request at a time. It is kept only after an answer
 * whose end was certain and behind which no byte has come. An answer to another request, which is
 * told by its id, is skipped. Confined to the router's event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d+)");

  /** Idle connections of upstreams that do not state a timeout are kept so long. */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

  /** A connection is given up so long before the upstream does, in case a request is on its way. */
  private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

  /** Hears what arrives for one request. Exactly one of the last two methods ends it. */
  interface Receiver {

    /** The head of the answer has arrived. */
    void onHead(HttpResponse head);

    /** A part of the body has arrived; the receiver does not own it. */
    void onBody(ByteBuf body);

    /** All bytes that have arrived so far were handed over. */
    void onReadComplete();

    /** The answer is whole. */
    void onEnd();

    /** The connection has failed before the answer was whole; {@code silent}: without any byte. */
    void onFailure(String reason, boolean silent);
  }

  private final Upstream upstream;
  private final UpstreamConnections connections;
  private final ResponseDecoder decoder;
  private Channel channel;
  private Receiver receiver;
  private String requestId = "";
  private ChannelFuture requestWritten;
  private boolean skippingResponse;
  private boolean headReceived;
  private boolean responseComplete;
  private boolean reusable;
  private boolean channelFailed;
  private boolean bytesReceived;
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

  @Override
  public void handlerAdded(ChannelHandlerContext c) {
    channel = c.channel();
  }

  /** Sends a request; {@code request} is released. */
  void send(FullHttpRequest request, String id, Receiver next) {
    receiver = next;
    requestId = id;
    headReceived = false;
    responseComplete = false;
    skippingResponse = false;
    bytesReceived = false;
    decoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
    requestWritten = channel.writeAndFlush(request);
  }

  /** Stops or continues reading, while the caller does not take its answer. */
  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  /** Ends the request from this side; the upstream drops it when the connection closes. */
  void cancel() {
    receiver = null;
    close();
  }

  void close() {
    channel.close();
  }

  boolean isUsable(long nowMillis) {
    return channel.isActive() && receiver == null && nowMillis - idleSinceMillis < idleTimeoutMillis;
  }

  @Override
  public void channelRead(ChannelHandlerContext c, Object message) {
    try {
      if (receiver == null) {
        // Bytes that no request has asked for.
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
      fail("the answer cannot be read");
      return;
    }
    String id = head.headers().get(connections.headerNames().requestId());
    skippingResponse = id != null && !id.equals(requestId);
    if (skippingResponse) {
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "upstream: %s sent an answer to request %s while %s waits",
          upstream.entry().id(), id, requestId);
      return;
    }
    if (id == null && head.status().code() < 300) {
      fail("the answer names no request");
      return;
    }
    headReceived = true;
    reusable = HttpUtil.isKeepAlive(head) && hasDefinedLength(head);
    readKeepAliveTimeout(head);
    receiver.onHead(head);
  }

  private static boolean hasDefinedLength(HttpResponse head) {
    int status = head.status().code();
    return HttpUtil.isTransferEncodingChunked(head)
        || HttpUtil.isContentLengthSet(head)
        || status == 204
        || status == 304;
  }

  private void readKeepAliveTimeout(HttpResponse head) {
    String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
    Matcher m = value == null ? null : TIMEOUT.matcher(value);
    if (m != null && m.find() && m.group(1).length() < 6) {
      idleTimeoutMillis = Math.max(0, Integer.parseInt(m.group(1)) * 1_000L - IDLE_TIMEOUT_MARGIN_MILLIS);
    }
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (content.decoderResult().isFailure() || last && channelFailed) {
      fail("the answer cannot be read to its end");
      return;
    }
    if (skippingResponse) {
      skippingResponse = !last;
      return;
    }
    if (!headReceived || responseComplete) {
      fail("bytes behind the answer");
      return;
    }
    if (content.content().isReadable()) {
      receiver.onBody(content.content());
    }
    if (last && receiver != null) {
      responseComplete = true;
    }
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
    Receiver done = receiver;
    receiver = null;
    // An upstream that answers before it has read the request may read the rest of it later.
    if (reusable && !decoder.hasUnreadBytes() && requestWritten.isSuccess() && upstream.isReady()) {
      idleSinceMillis = connections.now();
      channel.config().setAutoRead(true);
      connections.release(this);
    } else {
      close();
    }
    done.onEnd();
  }

  private void fail(String reason) {
    if (responseComplete && receiver != null) {
      // The answer is whole; only what came behind it makes the connection unusable.
      reusable = false;
      return;
    }
    Receiver broken = receiver;
    receiver = null;
    close();
    if (broken != null) {
      broken.onFailure(reason, false);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
    // Comes before the end of the input, which then does not end an answer without length.
    channelFailed = true;
    fail(String.valueOf(cause.getMessage()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext c) {
    upstream.onConnectionClosed(this);
    Receiver broken = receiver;
    receiver = null;
    if (broken == null) {
      return;
    }
    if (responseComplete) {
      broken.onEnd();
    } else {
      broken.onFailure("the connection was closed", !bytesReceived);
    }
  }
}
