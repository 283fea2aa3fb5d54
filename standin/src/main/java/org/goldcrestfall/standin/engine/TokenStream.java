package org.goldcrestfall.standin.engine;

import java.util.Optional;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.answer.ChatRequest;
import org.goldcrestfall.standin.answer.CompletionJson;

/**
 * Produces the body of one response: the server-sent events from token {@code resumeFrom} on, or
 * the whole answer as one JSON object.
 */
final class TokenStream {

  private final Answer answer;
  private final CompletionJson json;
  private final ChatRequest request;
  private final int totalTokens;
  private final EngineStats stats;
  private int nextIndex;

  TokenStream(ChatRequest request, EngineStats stats) {
    this.request = request;
    this.answer = Answer.to(request.prompt());
    this.json = new CompletionJson(request.requestId(), request.model());
    this.totalTokens = answer.tokenCount(request.maxTokens());
    this.nextIndex = Math.min(request.resumeFrom(), totalTokens);
    this.stats = stats;
  }

  boolean hasMoreTokens() {
    return nextIndex < totalTokens;
  }

  /**
   * Returns the events of up to {@code limit} further tokens. With the last token, it also returns
   * the usage, which covers the whole answer, and the end of the stream.
   */
  ByteString nextEvents(int limit) {
    StringBuilder out = new StringBuilder(limit * 180 + 256);
    int end = Math.min(totalTokens, nextIndex + limit);
    stats.tokens.addAndGet(end - nextIndex);
    for (; nextIndex < end; nextIndex++) {
      json.appendToken(out, nextIndex, answer.token(nextIndex));
    }
    if (nextIndex == totalTokens) {
      json.appendEnd(
          out,
          answer.finishReason(request.maxTokens()),
          request.prompt().tokenCount(),
          totalTokens);
    }
    return ByteString.fromString(out.toString());
  }

  /** Returns the whole answer as one JSON object. */
  ByteString completion() {
    stats.tokens.addAndGet(totalTokens);
    nextIndex = totalTokens;
    return ByteString.fromString(
        json.completion(
            answer.text(0, totalTokens),
            answer.finishReason(request.maxTokens()),
            request.prompt().tokenCount(),
            totalTokens));
  }

  int totalTokens() {
    return totalTokens;
  }

  int remainingTokens() {
    return totalTokens - nextIndex;
  }

  /** Returns a source of elements of up to {@code limit} token events, without pauses. */
  Source<ByteString, NotUsed> unpacedEvents(int limit) {
    return Source.unfold(
        true, hasMore -> hasMore ? Optional.of(nextElement(limit)) : Optional.empty());
  }

  private Pair<Boolean, ByteString> nextElement(int limit) {
    ByteString events = nextEvents(limit);
    return Pair.create(hasMoreTokens(), events);
  }
}
