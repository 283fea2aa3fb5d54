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
import org.goldcrestfall.core.dispatch.RequestSize;

/** A caller's request, with access to its headers and the conversion for an upstream. */
record CallerRequest(GatewayHeaderNames headerNames, HttpRequest head, ByteBuf body) {

  private static final Splitter COMMA = Splitter.on(',').trimResults().omitEmptyStrings();

  /** Returns the id that the caller gave this attempt, or null. */
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

  /** Returns the API key, or nothing if the Authorization header has another scheme. */
  Optional<String> apiKey() {
    String value = head.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    return value.startsWith(headerNames.authScheme())
        ? Optional.of(value.substring(headerNames.authScheme().length()).trim())
        : Optional.empty();
  }

  /** Returns how long the caller waits for the response in total, if the caller states it. */
  OptionalLong callerTimeoutMillis() {
    try {
      return OptionalLong.of(Long.parseLong(head.headers().get(headerNames.remainingMillis(), "")));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns the stated size of the request, or nothing if the headers for it are malformed. */
  Optional<RequestSize> size() {
    String counts = head.headers().get(headerNames.tokenCount());
    if (counts == null) {
      return Optional.of(RequestSize.PLAIN);
    }
    try {
      List<String> fields = COMMA.splitToList(counts);
      ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
      for (String part : COMMA.split(head.headers().get(headerNames.promptParts(), ""))) {
        int colon = part.indexOf(':');
        parts.add(
            new PromptPart(part.substring(0, colon), Long.parseLong(part.substring(colon + 1))));
      }
      RequestSize size =
          new RequestSize(
              Long.parseLong(fields.get(0)), Long.parseLong(fields.get(1)), parts.build());
      return size.promptTokens() >= 0 && size.maxOutputTokens() >= 0
          ? Optional.of(size)
          : Optional.empty();
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the request for an upstream, without reserved and hop-by-hop headers. */
  FullHttpRequest forUpstream(String upstreamId, long remainingMillis) {
    FullHttpRequest forwarded =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
    HopByHopHeaders.copy(head.headers(), forwarded.headers(), headerNames.reservedHeaders());
    forwarded.headers().set(headerNames.expectedUpstream(), upstreamId);
    forwarded.headers().set(headerNames.remainingMillis(), remainingMillis);
    boolean hasBody =
        body.isReadable()
            || head.method().equals(HttpMethod.POST)
            || head.method().equals(HttpMethod.PUT);
    if (hasBody) {
      forwarded.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return forwarded;
  }
}
