package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.limit.FragmentLimit;

/**
 * A caller's connection: reads one request at a time, starts its exchange, and writes the response.
 * Requests that arrive during an exchange are queued.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Number of messages that are queued for a pipeline, about 128 requests. The connection is closed
   * after the responses to these; the caller may send the others again.
   */
  private static final int MAX_PENDING_MESSAGES = 256;

  /**
   * How long a connection is kept after its last use in a drain. A caller that was not told to
   * leave often sends its next request at once, and would send it into the close.
   */
  private static final long NEXT_REQUEST_MILLIS = 200;

  private final Gateway gateway;
  private final Deque<Object> pendingMessages = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest head;
  private boolean headRequest;
  private BodyBuffer body;
  private FragmentLimit fragments;
  private int reservedBufferBytes;
  private Exchange exchange;
  private ChannelFuture lastWrite;
  private boolean refused;
  private boolean pipelineTooLong;
  private boolean handlingPendingMessages;
  private boolean closing;
  private long lastActivityAtMillis;
  private long readStartedAtMillis = -1;

  ClientConnection(Gateway gateway) {
    this.gateway = gateway;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext c) {
    channel = c.channel();
    lastActivityAtMillis = gateway.now();
    gateway.clientConnected(this);
    gateway.onArrival();
  }

  Channel channel() {
    return channel;
  }

  @Override
  public void channelRead(ChannelHandlerContext c, Object message) {
    if (exchange == null && pendingMessages.isEmpty() && channel.isWritable()) {
      handle(message);
      return;
    }
    channel.config().setAutoRead(false);
    if (pendingMessages.size() >= MAX_PENDING_MESSAGES) {
      pipelineTooLong = true;
    }
    if (pipelineTooLong) {
      ReferenceCountUtil.release(message);
    } else {
      pendingMessages.add(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext c) {
    gateway.onArrival();
  }

  private void handle(Object message) {
    try {
      lastActivityAtMillis = gateway.now();
      if (closing || refused) {
        return;
      }
      if (message instanceof HttpRequest request) {
        onHead(request);
      }
      if (message instanceof HttpContent content && head != null && !refused) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpRequest request) {
    readStartedAtMillis = gateway.now();
    headRequest = request.method().equals(HttpMethod.HEAD);
    if (request.decoderResult().isFailure()) {
      Throwable cause = request.decoderResult().cause();
      boolean tooLong =
          cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
      refuseAndClose(
          tooLong ? ErrorKind.HEADER_TOO_LARGE : ErrorKind.MALFORMED_REQUEST,
          tooLong ? "The head of the request is too long." : "The request cannot be read.");
      return;
    }
    head = request;
    fragments = new FragmentLimit();
    body = new BodyBuffer(channel.alloc());
    if (HttpUtil.getContentLength(request, 0L) > gateway.limits().maxBodyBytes()) {
      refuseAndClose(ErrorKind.BODY_TOO_LARGE, "The body is too long.");
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      refuseAndClose(ErrorKind.MALFORMED_REQUEST, "The body cannot be read.");
      return;
    }
    int bytes = content.content().readableBytes();
    if (!fragments.onPart(bytes)) {
      refuseAndClose(ErrorKind.MALFORMED_REQUEST, "The body is sent in too many small parts.");
      return;
    }
    if (body.size() + bytes > gateway.limits().maxBodyBytes()) {
      refuseAndClose(ErrorKind.BODY_TOO_LARGE, "The body is too long.");
      return;
    }
    if (!gateway.reserveBuffer(bytes)) {
      refuseAndClose(ErrorKind.OVERLOADED, "Too many request bodies are in memory.");
      return;
    }
    reservedBufferBytes += bytes;
    body.append(content.content());
    if (content instanceof LastHttpContent) {
      CallerRequest request = new CallerRequest(gateway.headerNames(), head, body.take());
      exchange = new Exchange(gateway, this, request, readStartedAtMillis);
      head = null;
      body = null;
      readStartedAtMillis = -1;
      exchange.start();
    }
  }

  /**
   * Refuses a request before it has been read completely. Ignores all further bytes and closes the
   * connection after the response.
   */
  private void refuseAndClose(ErrorKind kind, String message) {
    refused = true;
    closing = true;
    String id = head == null ? null : head.headers().get(gateway.headerNames().requestId());
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "request: %s refused as %s: %s", id, kind.code(), message);
    gateway.metrics().recordFinished("unread", kind.code());
    writeError(kind, message, id, 0);
    releaseBody();
  }

  /** Writes an error response; if {@code retryAfterMillis} is 0, it has no Retry-After header. */
  void writeError(ErrorKind kind, String message, String requestId, long retryAfterMillis) {
    String json =
        "{\"error\":{\"kind\":\""
            + kind.code()
            + "\",\"message\":\""
            + message
            + "\",\"run\":\""
            + kind.executionState().name().toLowerCase(Locale.ROOT)
            + "\",\"retry\":"
            + kind.retryable()
            + "}}\n";
    ByteBuf bytes = Unpooled.copiedBuffer(json, StandardCharsets.UTF_8);
    // The caller would take the body of a response to HEAD for the start of the next response.
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(kind.status()),
            headRequest ? Unpooled.EMPTY_BUFFER : bytes);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
    if (requestId != null) {
      response.headers().set(gateway.headerNames().requestId(), requestId);
    }
    if (retryAfterMillis > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1_000.0));
    }
    writeLast(response);
  }

  /** Returns whether the connection closes after the current response. */
  boolean closesAfterResponse(HttpRequest request) {
    return closing || gateway.isDraining() || !HttpUtil.isKeepAlive(request);
  }

  /** Writes a complete response or its last part, then closes the connection if it is closing. */
  void writeLast(Object message) {
    if (message instanceof DefaultFullHttpResponse r && (closing || gateway.isDraining())) {
      closing = true;
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    lastWrite = channel.writeAndFlush(message);
    lastWrite.addListener(
        f -> {
          if (!f.isSuccess()) {
            closeAfterFailure(f.cause());
          }
        });
    if (closing) {
      lastWrite.addListener(ChannelFutureListener.CLOSE);
    }
    if (!lastWrite.isDone()) {
      gateway.responseBytesHeld(this);
      gateway.responseWriteStarted();
      lastWrite.addListener(f -> gateway.responseWriteEnded());
    }
  }

  /** A response that cannot be written must not leave its caller waiting. */
  private void closeAfterFailure(Throwable cause) {
    if (!(cause instanceof IOException)) {
      logger.atSevere().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
          "http: closing a caller's connection after an unexpected exception");
    }
    channel.close();
  }

  /** Closes the connection after the current response. */
  void closeAfterResponse() {
    closing = true;
  }

  /** Closes the connection at once, so that a partly written response does not look complete. */
  void abort() {
    closing = true;
    channel.close();
  }

  /** Handles the next request, if one is queued, after the exchange has ended. */
  void exchangeEnded() {
    exchange = null;
    lastActivityAtMillis = gateway.now();
    releaseBody();
    if (gateway.isClosingIdle()) {
      closeIfIdle();
    }
    handlePendingMessages();
  }

  /**
   * Handles queued messages while no request is open and the caller reads its responses: otherwise
   * the responses to a long pipeline would be kept in memory.
   */
  private void handlePendingMessages() {
    if (handlingPendingMessages) {
      // An exchange has ended at once; the loop below goes on.
      return;
    }
    handlingPendingMessages = true;
    while (exchange == null && !pendingMessages.isEmpty() && channel.isWritable()) {
      handle(pendingMessages.poll());
    }
    handlingPendingMessages = false;
    if (exchange != null || !pendingMessages.isEmpty()) {
      return;
    }
    if (pipelineTooLong) {
      closeAfterLastWrite();
    } else {
      channel.config().setAutoRead(true);
    }
  }

  private void releaseBody() {
    gateway.releaseBuffer(reservedBufferBytes);
    reservedBufferBytes = 0;
    if (body != null) {
      body.release();
      body = null;
    }
    head = null;
    readStartedAtMillis = -1;
  }

  /**
   * Closes the connection if no request is open, queued or being read, and the caller does not use
   * it for some time. The event loop reads its sockets before it looks at the connection again, so
   * that a request that has arrived is seen however late the loop is.
   */
  void closeIfIdle() {
    if (!isIdle()) {
      return;
    }
    long usedAtMillis = lastActivityAtMillis;
    long leftMillis = usedAtMillis + NEXT_REQUEST_MILLIS - gateway.now();
    gateway
        .loop()
        .schedule(
            () -> closeIfUnused(usedAtMillis), Math.max(1, leftMillis), TimeUnit.MILLISECONDS);
  }

  private void closeIfUnused(long usedAtMillis) {
    boolean unused = lastActivityAtMillis == usedAtMillis;
    if (!unused || gateway.now() - usedAtMillis < NEXT_REQUEST_MILLIS) {
      closeIfIdle();
    } else if (isIdle()) {
      closeAfterLastWrite();
    }
  }

  private void closeAfterLastWrite() {
    closing = true;
    if (isWriting()) {
      lastWrite.addListener(ChannelFutureListener.CLOSE);
    } else {
      channel.close();
    }
  }

  private boolean isIdle() {
    return exchange == null && readStartedAtMillis < 0 && pendingMessages.isEmpty() && !closing;
  }

  /** Returns whether a request is queued or being read, or is likely to arrive soon. */
  boolean isRequestExpected() {
    return !closing
        && (readStartedAtMillis >= 0
            || !pendingMessages.isEmpty()
            || gateway.now() - lastActivityAtMillis < NEXT_REQUEST_MILLIS);
  }

  /** Returns whether the caller has not taken all bytes of the last response yet. */
  private boolean isWriting() {
    return lastWrite != null && !lastWrite.isDone();
  }

  /** Ends the open request, if any, because the router stops. */
  void endExchange() {
    if (exchange != null) {
      exchange.onRouterStop();
    }
  }

  /** Closes the connection without reading another request. */
  void close() {
    channel.config().setAutoRead(false);
    if (!closing) {
      closing = true;
      channel.close();
    }
  }

  /** Returns the bytes of responses that are kept for this caller. */
  long heldResponseBytes() {
    ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
    return (unwritten == null ? 0 : unwritten.totalPendingWriteBytes())
        + (exchange == null ? 0 : exchange.heldResponseBytes());
  }

  /** Gives up the response that is kept for this caller, because too many are. */
  void shedResponse() {
    if (exchange != null && channel.isWritable()) {
      exchange.shedResponse();
    } else {
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "caller: connection closed with %s bytes that it does not read", heldResponseBytes());
      abort();
    }
  }

  /** Closes an idle connection, and refuses a request whose next bytes do not arrive in time. */
  void checkTimeouts(long now) {
    if (exchange != null || closing || isWriting()) {
      return;
    }
    if (readStartedAtMillis >= 0
        && now - lastActivityAtMillis > gateway.limits().headerTimeoutMillis()) {
      refuseAndClose(ErrorKind.REQUEST_TIMEOUT, "The request was not sent in time.");
    } else if (readStartedAtMillis < 0
        && (gateway.isClosingIdle()
            || now - lastActivityAtMillis > gateway.limits().idleTimeoutMillis())) {
      closeIfIdle();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext c) {
    if (exchange != null) {
      exchange.onWritabilityChanged(channel.isWritable());
    } else {
      handlePendingMessages();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext c) {
    gateway.clientDisconnected(this);
    closing = true;
    pendingMessages.forEach(ReferenceCountUtil::release);
    pendingMessages.clear();
    if (exchange != null) {
      exchange.onClientDisconnected();
    }
    releaseBody();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
    closeAfterFailure(cause);
  }
}
