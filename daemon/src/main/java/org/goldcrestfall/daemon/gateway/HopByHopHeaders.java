package org.goldcrestfall.daemon.gateway;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The headers that are not forwarded: those that apply only to a single connection (RFC 9110,
 * section 7.6.1), and Content-Length and Expect, which the router handles itself.
 */
final class HopByHopHeaders {

  private static final Splitter COMMA = Splitter.on(',').trimResults().omitEmptyStrings();

  private static final ImmutableSet<String> HOP_BY_HOP_NAMES =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private HopByHopHeaders() {}

  /**
   * Copies the headers to forward, except those in {@code excluded}, whose names are in lower case.
   */
  static void copy(HttpHeaders from, HttpHeaders to, Set<String> excluded) {
    Set<String> connectionOptions = new HashSet<>();
    for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
      COMMA.split(value).forEach(name -> connectionOptions.add(Ascii.toLowerCase(name)));
    }
    for (Map.Entry<String, String> e : from) {
      String name = Ascii.toLowerCase(e.getKey());
      if (!HOP_BY_HOP_NAMES.contains(name)
          && !connectionOptions.contains(name)
          && !excluded.contains(name)) {
        to.add(e.getKey(), e.getValue());
      }
    }
  }
}
