package org.goldcrestfall.daemon.gateway;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
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
import org.goldcrestfall.core.common.TokenCount;
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

  /**
   * Returns how long the caller waits for the response in total, if the caller states it; 0 if the
   * stated time is negative.
   */
  OptionalLong callerTimeoutMillis() {
    Long millis = Longs.tryParse(head.headers().get(headerNames.remainingMillis(), ""));
    return millis == null ? OptionalLong.empty() : OptionalLong.of(Math.max(0, millis));
  }

  /** Returns the stated size of the request, or nothing if the headers for it are malformed. */
  Optional<RequestSize> size() {
    String counts = head.headers().get(headerNames.tokenCount());
    if (counts == null) {
      return Optional.of(RequestSize.PLAIN);
    }
    List<String> fields = COMMA.splitToList(counts);
    Optional<TokenCount> promptTokens = tokenCount(fields, 0);
    Optional<TokenCount> maxOutputTokens = tokenCount(fields, 1);
    ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
    for (String part : COMMA.split(head.headers().get(headerNames.promptParts(), ""))) {
      int colon = part.indexOf(':');
      Optional<TokenCount> tokens = TokenCount.parse(part.substring(colon + 1));
      if (colon < 0 || tokens.isEmpty()) {
        return Optional.empty();
      }
      parts.add(new PromptPart(part.substring(0, colon), tokens.get()));
    }
    return promptTokens.isPresent() && maxOutputTokens.isPresent()
        ? Optional.of(new RequestSize(promptTokens.get(), maxOutputTokens.get(), parts.build()))
        : Optional.empty();
  }

  private static Optional<TokenCount> tokenCount(List<String> fields, int index) {
    return index < fields.size() ? TokenCount.parse(fields.get(index)) : Optional.empty();
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
