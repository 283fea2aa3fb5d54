package org.goldcrestfall.standin.engine;

import java.util.Optional;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.answer.ChatRequest;
import org.goldcrestfall.standin.answer.CompletionJson;

/** Produces the body of one response, either as server-sent events or as one JSON object. */
final class TokenStream {

  private final Answer answer;
  private final CompletionJson json;
  private final ChatRequest request;
  private final int length;
  private final EngineStats stats;
  private int nextIndex;

  TokenStream(ChatRequest request, EngineStats stats) {
    this.request = request;
    this.answer = Answer.to(request.prompt());
    this.json = new CompletionJson(request.requestId(), request.model());
    this.length = answer.length(request.maxTokens());
    this.nextIndex = Math.min(request.resumeFrom(), length);
    this.stats = stats;
  }

  boolean hasMoreTokens() {
    return nextIndex < length;
  }

  /**
   * Returns the events of up to {@code limit} further tokens. With the last token, it also returns
   * the usage, which covers the whole answer, and the end of the stream.
   */
  ByteString nextEvents(int limit) {
    StringBuilder out = new StringBuilder(limit * 180 + 256);
    int end = Math.min(length, nextIndex + limit);
    stats.tokens.addAndGet(end - nextIndex);
    for (; nextIndex < end; nextIndex++) {
      json.appendToken(out, nextIndex, answer.token(nextIndex));
    }
    if (nextIndex == length) {
      json.appendEnd(
          out, answer.finishReason(request.maxTokens()), request.prompt().tokens(), length);
    }
    return ByteString.fromString(out.toString());
  }

  /** Returns the whole answer as one JSON object. */
  ByteString completion() {
    stats.tokens.addAndGet(length);
    nextIndex = length;
    return ByteString.fromString(
        json.completion(
            answer.text(0, length),
            answer.finishReason(request.maxTokens()),
            request.prompt().tokens(),
            length));
  }

  int length() {
    return length;
  }

  int remaining() {
    return length - nextIndex;
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
