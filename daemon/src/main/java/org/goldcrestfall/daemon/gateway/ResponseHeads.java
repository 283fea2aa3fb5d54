package org.goldcrestfall.daemon.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Collection;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks on the heads of upstreams' responses. */
final class ResponseHeads {

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  private ResponseHeads() {}

  /**
   * Returns whether the head consists of parts of two responses: an upstream that stops inside a
   * head and goes on with another response joins a value or the reason phrase and a status line.
   *
   * @param singleNames headers that occur once in a sound response
   */
  static boolean isJoined(HttpResponse head, Collection<String> singleNames) {
    for (String name : singleNames) {
      if (head.headers().getAll(name).size() > 1) {
        return true;
      }
    }
    if (STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
      return true;
    }
    for (Map.Entry<String, String> e : head.headers()) {
      if (STATUS_LINE.matcher(e.getValue()).find()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the end of the response shows without the end of its connection. */
  static boolean hasDefinedLength(HttpResponse head) {
    int status = head.status().code();
    return HttpUtil.isTransferEncodingChunked(head)
        || HttpUtil.isContentLengthSet(head)
        || status == 204
        || status == 304;
  }
}
