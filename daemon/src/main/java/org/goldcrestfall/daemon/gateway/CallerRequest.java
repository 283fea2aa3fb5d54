package org.goldcrestfall.daemon.gateway;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.goldcrestfall.core.dispatch.PromptPart;
import org.goldcrestfall.core.dispatch.Workload;

/** A request as its caller sent it: what its headers say, and its form for an upstream. */
record CallerRequest(GatewayDialect headerNames, HttpRequest head, ByteBuf body) {

  private static final Splitter COMMA = Splitter.on(',').trimResults().omitEmptyStrings();

  /** Returns the caller's id of the attempt, or null. */
  String id() {
    return head.headers().get(headerNames.requestId());
  }

  String host() {
    return head.headers().get(HttpHeaderNames.HOST, "");
  }

  /** Returns the path without the query. */
  String path() {
    int query = head.uri().indexOf('?');
    return query < 0 ? head.uri() : head.uri().substring(0, query);
  }

  /** Returns the API key. */
  Optional<String> apiKey() {
    String value = head.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    return value.startsWith(headerNames.authScheme())
        ? Optional.of(value.substring(headerNames.authScheme().length()).trim())
        : Optional.empty();
  }

  /** Returns how long the caller waits in all, if it says so. */
  OptionalLong callerTimeoutMillis() {
    try {
      return OptionalLong.of(Long.parseLong(head.headers().get(headerNames.remainingMillis(), "")));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns the size that the request states, or nothing if that cannot be read. */
  Optional<Workload> workload() {
    String counts = head.headers().get(headerNames.tokenCount());
    if (counts == null) {
      return Optional.of(Workload.PLAIN);
    }
    try {
      List<String> fields = COMMA.splitToList(counts);
      ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
      for (String part : COMMA.split(head.headers().get(headerNames.promptParts(), ""))) {
        int colon = part.indexOf(':');
        parts.add(
            new PromptPart(part.substring(0, colon), Long.parseLong(part.substring(colon + 1))));
      }
      Workload w =
          new Workload(Long.parseLong(fields.get(0)), Long.parseLong(fields.get(1)), parts.build());
      return w.promptTokens() >= 0 && w.maxOutputTokens() >= 0 ? Optional.of(w) : Optional.empty();
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the request for an upstream, without what only the system or one connection sets. */
  FullHttpRequest forUpstream(String upstreamId, long remainingMillis) {
    FullHttpRequest out =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
    HopByHopHeaders.copy(head.headers(), out.headers(), headerNames.reservedHeaders());
    out.headers().set(headerNames.expectedUpstream(), upstreamId);
    out.headers().set(headerNames.remainingMillis(), remainingMillis);
    boolean hasBody =
        body.isReadable()
            || head.method().equals(HttpMethod.POST)
            || head.method().equals(HttpMethod.PUT);
    if (hasBody) {
      out.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return out;
  }
}
