package org.goldcrestfall.daemon.filter;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.stream.AnswerKey;
import org.goldcrestfall.core.stream.AnswerLookup;
import org.goldcrestfall.daemon.answer.AnswerPart;
import org.goldcrestfall.daemon.answer.AnswerService;
import org.goldcrestfall.daemon.answer.RemoteAnswers;
import org.goldcrestfall.daemon.http.HttpResponses;
import org.goldcrestfall.daemon.http.Json;
import org.goldcrestfall.daemon.upstream.ChatRenderer;

/**
 * Finds the answer to a retried chat completion on this router or another one. An answer in
 * progress is streamed from its start, a finished one is replayed, and a request with another body
 * under the same id is refused. Only chat completions need this: bookings have a record in the
 * replicated log, and idempotent calls are repeated.
 */
public final class ReplayFilter implements RequestFilter {

  private final ActorSystem<?> system;
  private final AnswerService answers;
  private final RemoteAnswers remoteAnswers;

  /** Creates the filter. */
  public ReplayFilter(ActorSystem<?> system, AnswerService answers, RemoteAnswers remoteAnswers) {
    this.system = system;
    this.answers = answers;
    this.remoteAnswers = remoteAnswers;
  }

  /** Reads the part of an answer that starts at the given token offset. */
  private interface PartReader {
    CompletionStage<AnswerPart> next(long offset);
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    if (!c.isChat() || !c.isIdFromCaller()) {
      return next.proceed(c);
    }
    AnswerKey key = new AnswerKey(c.workspace().name(), c.requestId());
    AnswerLookup lookup = answers.begin(key, c.bodyHash());
    return switch (lookup) {
      case JOIN, REPLAY -> replay(c, offset -> answers.readFrom(key, offset));
      case REUSED -> throw requestIdReused();
      case BUSY ->
          throw new RequestFailure(
              ErrorKind.OVERLOADED, "The request is running, and its text is not kept.");
      case FULL -> next.proceed(c);
      case STARTED -> findOnOtherRouters(c, key, next);
    };
  }

  private CompletionStage<HttpResponse> findOnOtherRouters(
      RequestContext c, AnswerKey key, Next next) {
    return remoteAnswers
        .findRouter(key, c.bodyHash())
        .thenCompose(address -> replayRemoteOrProceed(c, key, address, next))
        .whenComplete(
            (r, e) -> {
              if (e != null) {
                answers.abandon(key.workspace(), key.requestId());
              }
            });
  }

  private CompletionStage<HttpResponse> replayRemoteOrProceed(
      RequestContext c, AnswerKey key, Optional<String> address, Next next) {
    if (address.isEmpty()) {
      remoteAnswers.register(key, c.bodyHash());
      return next.proceed(c);
    }
    return replay(c, offset -> remoteAnswers.fetch(address.get(), key, c.bodyHash(), offset))
        .handle(
            (r, e) -> {
              if (e == null) {
                answers.abandon(key.workspace(), key.requestId());
                return CompletableFuture.completedFuture(r);
              }
              // The other router has failed or dropped the answer, so this router generates it.
              remoteAnswers.register(key, c.bodyHash());
              return next.proceed(c);
            })
        .thenCompose(f -> f);
  }

  private CompletionStage<HttpResponse> replay(RequestContext c, PartReader reader) {
    Source<AnswerPart, NotUsed> parts =
        Source.unfoldAsync(
            0L,
            offset ->
                offset < 0
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : reader
                        .next(offset)
                        .thenApply(p -> Optional.of(Pair.create(nextOffset(p), p))));
    return parts
        .prefixAndTail(1)
        .runWith(Sink.head(), system)
        .thenCompose(p -> response(c, Source.from(p.first()).concatLazy(p.second())));
  }

  /** Returns the offset after the part, or -1 after the last part. */
  private static long nextOffset(AnswerPart p) {
    return p.isLast() ? -1 : p.offset() + p.tokens().size();
  }

  private CompletionStage<HttpResponse> response(
      RequestContext c, Source<AnswerPart, NotUsed> parts) {
    ChatRenderer renderer = new ChatRenderer(c.requestId(), c.chat().model());
    HttpResponse head =
        HttpResponse.create()
            .addHeader(RawHeader.create(HttpResponses.REQUEST_ID_HEADER, c.requestId()))
            .addHeader(RawHeader.create("Goldcrestfall-Replayed", "true"));
    if (c.chat().stream()) {
      Source<ByteString, NotUsed> events = parts.map(p -> render(renderer, p));
      return CompletableFuture.completedFuture(
          head.withEntity(
              HttpEntities.createChunked(
                  ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM),
                  events.backpressureTimeout(ChatFilter.SLOW_CALLER_TIMEOUT))));
    }
    return parts.runWith(Sink.seq(), system).thenApply(all -> completion(head, renderer, all));
  }

  private static ByteString render(ChatRenderer renderer, AnswerPart p) {
    ByteString tokens = renderer.tokenEvents(p.tokens());
    return p.isLast()
        ? tokens.concat(renderer.endEvents(p.finishReason(), p.promptTokens(), p.outputTokens()))
        : tokens;
  }

  private static HttpResponse completion(
      HttpResponse head, ChatRenderer renderer, List<AnswerPart> parts) {
    StringBuilder text = new StringBuilder();
    parts.forEach(p -> p.tokens().forEach(text::append));
    AnswerPart last = parts.get(parts.size() - 1);
    return head.withEntity(
        HttpEntities.create(
            ContentTypes.APPLICATION_JSON,
            Json.bytes(
                renderer.completion(
                    text.toString(),
                    last.finishReason(),
                    last.promptTokens(),
                    last.outputTokens()))));
  }

  private static RequestFailure requestIdReused() {
    return new RequestFailure(
        ErrorKind.REQUEST_ID_REUSED, "The request id was used with another body.");
  }
}
