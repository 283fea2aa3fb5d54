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
final class CallerAnswer {

  private final Gateway gateway;
  private final ClientConnection client;
  private final CallerRequest request;
  private HttpResponse heldHead;
  private EventScanner scanner;
  private boolean begun;
  private long firstByteAt = -1;
  private long lastPartAt;
  private long longestPauseMillis;

  CallerAnswer(Gateway gateway, ClientConnection client, CallerRequest request) {
    this.gateway = gateway;
    this.client = client;
    this.request = request;
  }

  /** Returns whether the caller has received a part of the answer. */
  boolean isBegun() {
    return begun;
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
    return scanner == null ? "" : scanner.lastId();
  }

  /** Returns when the first part of the answer came, or -1. */
  long firstByteAt() {
    return firstByteAt;
  }

  /** Returns the longest time between two parts of the answer. */
  long longestPauseMillis() {
    return longestPauseMillis;
  }

  private void notePart() {
    long now = gateway.now();
    if (firstByteAt < 0) {
      firstByteAt = now;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, now - lastPartAt);
    }
    lastPartAt = now;
  }

  // ---------------------------------------------------------------- streams

  /** Takes the head of a stream; one that is resumed keeps its first head. */
  void startStream(HttpResponse head, boolean resumable) {
    if (scanner == null) {
      scanner = new EventScanner();
    }
    if (begun) {
      return;
    }
    heldHead = copyOf(head);
    // A length stays true only if no other upstream can go on with the stream.
    if (HttpUtil.isContentLengthSet(head) && !resumable) {
      heldHead
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
    } else {
      HttpUtil.setTransferEncodingChunked(heldHead, true);
    }
  }

  /** Passes whole events on; the caller of this method keeps {@code bytes}. */
  void passEvents(ByteBuf bytes) {
    notePart();
    ByteBuf whole = scanner.feed(bytes, client.channel().alloc());
    if (!whole.isReadable()) {
      whole.release();
      return;
    }
    begin(heldHead);
    client.channel().write(new DefaultHttpContent(whole));
  }

  /** Ends a stream whose upstream has ended it. */
  void endStream() {
    begin(heldHead);
    client.writeLast(new DefaultLastHttpContent(scanner.takeRest()));
  }

  /** Drops what has come behind the last whole event, before another upstream goes on. */
  void dropIncomplete() {
    heldHead = null;
    if (scanner != null) {
      scanner.dropRest();
    }
  }

  // ---------------------------------------------------------------- other answers

  /** Passes a part of a long answer on; takes over {@code bytes}. */
  void passPart(HttpResponse head, ByteBuf bytes) {
    notePart();
    if (!begun) {
      HttpResponse out = copyOf(head);
      HttpUtil.setTransferEncodingChunked(out, true);
      begin(out);
    }
    client.channel().write(new DefaultHttpContent(bytes));
  }

  /** Ends a long answer; takes over {@code bytes}. */
  void endParts(ByteBuf bytes) {
    client.writeLast(new DefaultLastHttpContent(bytes));
  }

  /** Writes a whole answer; takes over {@code bytes}. */
  void writeWhole(HttpResponse head, CompositeByteBuf bytes) {
    notePart();
    var out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), bytes);
    HopHeaders.copy(head.headers(), out.headers(), Set.of());
    out.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
    prepareHead(out);
    client.writeLast(out);
  }

  /** Writes an error of this router; {@code retryAfterMillis} 0 states none. */
  void writeError(ErrorKind kind, String message, long retryAfterMillis) {
    if (!HttpUtil.isKeepAlive(request.head())) {
      client.closeAfterAnswer();
    }
    client.writeRefusal(kind, message, request.id(), retryAfterMillis);
  }

  /** Ends an answer that has begun so that it does not look complete. */
  void breakOff() {
    client.channel().flush();
    client.abort();
  }

  private HttpResponse copyOf(HttpResponse head) {
    HttpResponse out = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
    HopHeaders.copy(head.headers(), out.headers(), Set.of());
    return out;
  }

  private void begin(HttpResponse head) {
    if (!begun) {
      begun = true;
      prepareHead(head);
      client.channel().write(head);
    }
  }

  private void prepareHead(HttpResponse head) {
    if (client.closesAfterAnswer(request.head())) {
      client.closeAfterAnswer();
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Passes on what was written so far, and returns whether the caller takes more. */
  boolean flush() {
    client.channel().flush();
    return client.channel().isWritable();
  }
}
