package org.goldcrestfall.daemon.gateway;

import com.google.common.base.Ascii;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Set;
import org.goldcrestfall.core.common.ErrorKind;

/**
 * The response to one request as it is written to the caller. The head of a stream is withheld
 * until its first complete event, so that a stream that fails earlier can still be retried or
 * answered with an error, like any other request.
 */
final class CallerResponse {

  private final Gateway gateway;
  private final ClientConnection client;
  private final CallerRequest request;
  private HttpResponse pendingHead;
  private EventScanner scanner;
  private HttpResponseStatus status;
  private String mediaType = "";
  private boolean committed;
  private long firstByteAtMillis = -1;
  private long lastPartAtMillis;
  private long longestPauseMillis;

  CallerResponse(Gateway gateway, ClientConnection client, CallerRequest request) {
    this.gateway = gateway;
    this.client = client;
    this.request = request;
  }

  /** Returns whether the head of a response sent in parts has been written to the caller. */
  boolean isCommitted() {
    return committed;
  }

  private boolean isHead() {
    return request.head().method().equals(HttpMethod.HEAD);
  }

  /** Returns whether the response is a stream of events. */
  boolean isStream() {
    return scanner != null;
  }

  /** Returns the number of complete events forwarded. */
  long events() {
    return scanner == null ? 0 : scanner.events();
  }

  /** Returns the id of the last event forwarded, or an empty string. */
  String lastEventId() {
    return scanner == null ? "" : scanner.lastEventId();
  }

  /** Returns the time in milliseconds at which the first part arrived, or -1 if none has. */
  long firstByteAtMillis() {
    return firstByteAtMillis;
  }

  /** Returns the longest time between two successive parts of the response. */
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

  /**
   * Starts or resumes a stream; a resumed one keeps the head that was already written. Returns
   * false if the response is no stream like the one that it should resume.
   */
  boolean startStream(HttpResponse head, boolean resumable) {
    if (committed) {
      return head.status().equals(status) && mediaType(head).equals(mediaType);
    }
    if (scanner == null) {
      scanner = new EventScanner();
    }
    status = head.status();
    mediaType = mediaType(head);
    pendingHead = copyHead(head);
    // The length is reliable only if no other upstream can resume the stream.
    if (HttpUtil.isContentLengthSet(head) && !resumable) {
      pendingHead
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
    } else {
      HttpUtil.setTransferEncodingChunked(pendingHead, true);
    }
    return true;
  }

  private static String mediaType(HttpResponse head) {
    CharSequence type = HttpUtil.getMimeType(head);
    return type == null ? "" : Ascii.toLowerCase(type.toString());
  }

  /**
   * Forwards the complete events and keeps the bytes after them; does not release {@code bytes}.
   * Returns false if these are too long to be an event.
   */
  boolean forwardEvents(ByteBuf bytes) {
    recordPart();
    ByteBuf events = scanner.feed(bytes, client.channel().alloc());
    if (!events.isReadable()) {
      events.release();
      return !scanner.isEventTooLong();
    }
    writeHead(pendingHead);
    client.channel().write(new DefaultHttpContent(events));
    return !scanner.isEventTooLong();
  }

  /** Returns the number of bytes after the last complete event. */
  int incompleteBytes() {
    return scanner == null ? 0 : scanner.incompleteBytes();
  }

  /** Returns whether the stream has stopped inside an event. */
  boolean hasIncompleteEvent() {
    return scanner.hasIncompleteEvent();
  }

  /** Ends a stream that its upstream has ended after a complete event. */
  void endStream() {
    writeHead(pendingHead);
    client.writeLast(new DefaultLastHttpContent());
  }

  /** Discards a head not yet written and any bytes after the last complete event. */
  void discardIncompleteEvent() {
    pendingHead = null;
    if (scanner != null) {
      scanner.discardIncompleteEvent();
    }
  }

  /** Forwards a part of a long response; takes ownership of {@code bytes}. */
  void forwardPart(HttpResponse head, ByteBuf bytes) {
    recordPart();
    if (!committed) {
      HttpResponse out = copyHead(head);
      HttpUtil.setTransferEncodingChunked(out, true);
      writeHead(out);
    }
    client.channel().write(new DefaultHttpContent(bytes));
  }

  /** Forwards the last part of a long response; takes ownership of {@code bytes}. */
  void writeLastPart(ByteBuf bytes) {
    client.writeLast(new DefaultLastHttpContent(bytes));
  }

  /** Writes a complete response; takes ownership of {@code bytes}. */
  void writeFullResponse(HttpResponse head, CompositeByteBuf bytes) {
    recordPart();
    var out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), bytes);
    copyHeaders(head, out);
    String statedLength = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    if (!isHead() && head.status().code() != 304) {
      out.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
    } else if (statedLength != null) {
      // It states the length of the body that a GET would be answered with.
      out.headers().set(HttpHeaderNames.CONTENT_LENGTH, statedLength);
    }
    prepareHead(out);
    client.writeLast(out);
  }

  /** Writes an error response; if {@code retryAfterMillis} is 0, it has no Retry-After header. */
  void writeError(ErrorKind kind, String message, long retryAfterMillis) {
    if (!HttpUtil.isKeepAlive(request.head())) {
      client.closeAfterResponse();
    }
    client.writeError(kind, message, request.id(), retryAfterMillis);
  }

  /** Closes the connection, so that a partly written response does not look complete. */
  void abort() {
    client.channel().flush();
    client.abort();
  }

  /** Keeps the headers that identify the response, also if Connection names them. */
  private void copyHeaders(HttpResponse head, HttpResponse out) {
    HopByHopHeaders.copy(head.headers(), out.headers(), Set.of());
    GatewayHeaderNames names = gateway.headerNames();
    for (String name : List.of(names.requestId(), names.signature())) {
      String value = head.headers().get(name);
      if (value != null) {
        out.headers().set(name, value);
      }
    }
  }

  private HttpResponse copyHead(HttpResponse head) {
    HttpResponse out = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
    copyHeaders(head, out);
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

  /** Records the bytes that are kept for the caller. */
  void responseBytesHeld() {
    gateway.responseBytesHeld(client);
  }

  /** Flushes what was written, and returns whether the caller's connection accepts more. */
  boolean flush() {
    client.channel().flush();
    return client.channel().isWritable();
  }
}
