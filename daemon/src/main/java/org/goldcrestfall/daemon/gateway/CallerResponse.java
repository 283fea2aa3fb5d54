package org.goldcrestfall.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Set;
import org.goldcrestfall.core.common.ErrorKind;

/**
 * The answer to one request on its way to the caller. The head of a stream is held back until its
 * first whole event, so that a stream which fails before can be answered like any other request.
 */
final class CallerResponse {

  private final Gateway gateway;
  private final ClientConnection client;
  private final CallerRequest request;
  private HttpResponse pendingHead;
  private EventScanner scanner;
  private boolean committed;
  private long firstByteAtMillis = -1;
  private long lastPartAtMillis;
  private long longestPauseMillis;

  CallerResponse(Gateway gateway, ClientConnection client, CallerRequest request) {
    this.gateway = gateway;
    this.client = client;
    this.request = request;
  }

  /** Returns whether the caller has received a part of the answer. */
  boolean isCommitted() {
    return committed;
  }

  /** Returns whether the answer is a stream of events. */
  boolean isStream() {
    return scanner != null;
  }

  /** Returns the number of whole events passed on. */
  long events() {
    return scanner == null ? 0 : scanner.events();
  }

  /** Returns the id of the last event passed on, or an empty string. */
  String lastEventId() {
    return scanner == null ? "" : scanner.lastEventId();
  }

  /** Returns when the first part of the answer came, or -1. */
  long firstByteAtMillis() {
    return firstByteAtMillis;
  }

  /** Returns the longest time between two parts of the answer. */
  long longestPauseMillis() {
    return longestPauseMillis;
  }

  private void recordPart() {
    long now = gateway.now();
    if (firstByteAtMillis < 0) {
      firstByteAtMillis = now;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, now - lastPartAtMillis);
    }
    lastPartAtMillis = now;
  }

  // ---------------------------------------------------------------- streams

  /** Takes the head of a stream; one that is resumed keeps its first head. */
  void startStream(HttpResponse head, boolean resumable) {
    if (scanner == null) {
      scanner = new EventScanner();
    }
    if (committed) {
      return;
    }
    pendingHead = copyHead(head);
    // A length stays true only if no other upstream can go on with the stream.
    if (HttpUtil.isContentLengthSet(head) && !resumable) {
      pendingHead
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
    } else {
      HttpUtil.setTransferEncodingChunked(pendingHead, true);
    }
  }

  /** Passes whole events on; the caller of this method keeps {@code bytes}. */
  void forwardEvents(ByteBuf bytes) {
    recordPart();
    ByteBuf whole = scanner.feed(bytes, client.channel().alloc());
    if (!whole.isReadable()) {
      whole.release();
      return;
    }
    writeHead(pendingHead);
    client.channel().write(new DefaultHttpContent(whole));
  }

  /** Ends a stream whose upstream has ended it. */
  void endStream() {
    writeHead(pendingHead);
    client.writeLast(new DefaultLastHttpContent(scanner.takeIncompleteEvent()));
  }

  /** Drops what has come behind the last whole event, before another upstream goes on. */
  void discardIncompleteEvent() {
    pendingHead = null;
    if (scanner != null) {
      scanner.discardIncompleteEvent();
    }
  }

  // ---------------------------------------------------------------- other answers

  /** Passes a part of a long answer on; takes over {@code bytes}. */
  void forwardPart(HttpResponse head, ByteBuf bytes) {
    recordPart();
    if (!committed) {
      HttpResponse out = copyHead(head);
      HttpUtil.setTransferEncodingChunked(out, true);
      writeHead(out);
    }
    client.channel().write(new DefaultHttpContent(bytes));
  }

  /** Ends a long answer; takes over {@code bytes}. */
  void writeLastPart(ByteBuf bytes) {
    client.writeLast(new DefaultLastHttpContent(bytes));
  }

  /** Writes a whole answer; takes over {@code bytes}. */
  void writeFullResponse(HttpResponse head, CompositeByteBuf bytes) {
    recordPart();
    var out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), bytes);
    HopByHopHeaders.copy(head.headers(), out.headers(), Set.of());
    out.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
    prepareHead(out);
    client.writeLast(out);
  }

  /** Writes an error of this router; {@code retryAfterMillis} 0 states none. */
  void writeError(ErrorKind kind, String message, long retryAfterMillis) {
    if (!HttpUtil.isKeepAlive(request.head())) {
      client.closeAfterResponse();
    }
    client.writeError(kind, message, request.id(), retryAfterMillis);
  }

  /** Ends an answer that has begun so that it does not look complete. */
  void abort() {
    client.channel().flush();
    client.abort();
  }

  private HttpResponse copyHead(HttpResponse head) {
    HttpResponse out = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
    HopByHopHeaders.copy(head.headers(), out.headers(), Set.of());
    return out;
  }

  private void writeHead(HttpResponse head) {
    if (!committed) {
      committed = true;
      prepareHead(head);
      client.channel().write(head);
    }
  }

  private void prepareHead(HttpResponse head) {
    if (client.closesAfterResponse(request.head())) {
      client.closeAfterResponse();
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Passes on what was written so far, and returns whether the caller takes more. */
  boolean flush() {
    client.channel().flush();
    return client.channel().isWritable();
  }
}
