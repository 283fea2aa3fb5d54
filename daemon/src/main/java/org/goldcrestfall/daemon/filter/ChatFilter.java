package org.goldcrestfall.daemon.filter;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.daemon.answer.AnswerRecorder;
import org.goldcrestfall.daemon.budget.Budgets;
import org.goldcrestfall.daemon.http.HttpResponses;
import org.goldcrestfall.daemon.http.Json;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;
import org.goldcrestfall.daemon.upstream.ChatRenderer;
import org.goldcrestfall.daemon.upstream.ChatStream;

/**
 * Answers chat completions from engines, streamed or as one JSON object, and bills the tokens that
 * were forwarded. The response starts only with the first token, so that a failure before it is
 * reported by its HTTP status.
 */
public final class ChatFilter implements RequestFilter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time without a read by the caller after which its stream is cancelled. */
  static final Duration SLOW_CALLER_TIMEOUT = Duration.ofSeconds(60);

  /**
   * Longest wait for the commit of the billing record before the end of the answer is sent. When a
   * caller has received the complete answer, its record is thus committed, unless the control group
   * does not answer in time.
   */
  static final long SETTLE_WAIT_MILLIS = 500;

  private final ActorSystem<?> system;
  private final ChatStream.Dependencies dependencies;
  private final Budgets budgets;
  private final AnswerRecorder answers;
  private final DaemonMetrics metrics;
  private final MillisClock utcClock;

  /** Creates the filter. */
  public ChatFilter(
      ActorSystem<?> system,
      ChatStream.Dependencies dependencies,
      Budgets budgets,
      AnswerRecorder answers,
      DaemonMetrics metrics,
      MillisClock utcClock) {
    this.system = system;
    this.dependencies = dependencies;
    this.budgets = budgets;
    this.answers = answers;
    this.metrics = metrics;
    this.utcClock = utcClock;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    if (!c.isChat()) {
      return next.proceed(c);
    }
    ChatStream stream =
        new ChatStream(
            c.chat(), c.requestId(), c.patience().priority(), c.deadlineMillis(), dependencies);
    ChatRenderer renderer = new ChatRenderer(c.requestId(), c.chat().model());
    Source<List<String>, NotUsed> tokens =
        stream
            .tokens()
            .map(t -> recordTokens(c, t))
            .watchTermination(
                (m, done) -> {
                  done.whenComplete((d, e) -> settle(c, stream));
                  return m;
                });
    return c.chat().stream()
        ? streamedResponse(c, stream, renderer, tokens)
        : completeResponse(c, stream, renderer, tokens);
  }

  private List<String> recordTokens(RequestContext c, List<String> tokens) {
    answers.append(c.workspace().name(), c.requestId(), tokens);
    metrics.countForwardedTokens(tokens.size());
    return tokens;
  }

  private CompletionStage<HttpResponse> streamedResponse(
      RequestContext c,
      ChatStream stream,
      ChatRenderer renderer,
      Source<List<String>, NotUsed> tokens) {
    Source<ByteString, NotUsed> events =
        tokens
            .map(renderer::tokenEvents)
            .concatLazy(
                Source.lazyCompletionStage(
                    () ->
                        c.whenSettled(SETTLE_WAIT_MILLIS)
                            .thenApply(v -> endEvents(stream, renderer))));
    return awaitFirst(c, events)
        .thenApply(
            p -> {
              PFBuilder<Throwable, ByteString> recovery = new PFBuilder<>();
              Source<ByteString, NotUsed> body =
                  Source.from(p.first())
                      .concatLazy(p.second())
                      .recover(recovery.matchAny(e -> failureEvent(c, e)).build())
                      .backpressureTimeout(SLOW_CALLER_TIMEOUT);
              return responseHead(c)
                  .withEntity(
                      HttpEntities.createChunked(
                          ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), body));
            });
  }

  private CompletionStage<HttpResponse> completeResponse(
      RequestContext c,
      ChatStream stream,
      ChatRenderer renderer,
      Source<List<String>, NotUsed> tokens) {
    return awaitFirst(c, failOnDisconnect(c, tokens))
        .thenCompose(
            p ->
                Source.from(p.first())
                    .concatLazy(p.second())
                    .runFold(new StringBuilder(), ChatFilter::append, system))
        .thenCompose(text -> c.whenSettled(SETTLE_WAIT_MILLIS).thenApply(v -> text))
        .thenApply(
            text ->
                responseHead(c)
                    .withEntity(
                        HttpEntities.create(
                            ContentTypes.APPLICATION_JSON,
                            Json.bytes(
                                renderer.completion(
                                    text.toString(),
                                    stream.finishReason(),
                                    stream.promptTokens(),
                                    stream.outputTokens())))));
  }

  /**
   * Returns a source that also fails when the caller disconnects. A response that is sent as a
   * whole has no stream whose cancellation would show the disconnect.
   */
  private <T> Source<T, NotUsed> failOnDisconnect(RequestContext c, Source<T, NotUsed> source) {
    Source<T, NotUsed> disconnect =
        Source.completionStage(
            c.callerDisconnected()
                .thenApply(
                    v -> {
                      throw new RequestFailure(
                          ErrorKind.INTERNAL, "The caller closed the connection.");
                    }));
    // The second source never emits; it only fails the merged stream.
    return source.merge(disconnect, true);
  }

  /** Runs the source until its first element, and fails at the deadline. */
  private <T> CompletionStage<Pair<List<T>, Source<T, NotUsed>>> awaitFirst(
      RequestContext c, Source<T, NotUsed> source) {
    long now = dependencies.clock().nowMillis();
    long remaining = Math.max(1, c.deadlineMillis() - now);
    return source
        .initialTimeout(Duration.ofMillis(remaining))
        .prefixAndTail(1)
        .runWith(Sink.head(), system)
        .handle(
            (p, e) -> {
              if (e != null) {
                throw firstTokenFailure(e);
              }
              long timeToFirstTokenMillis = dependencies.clock().nowMillis() - c.arrivalMillis();
              metrics.recordTimeToFirstToken(c.patience().name(), timeToFirstTokenMillis);
              c.firstToken();
              return p;
            });
  }

  private static RuntimeException firstTokenFailure(Throwable e) {
    return HttpResponses.unwrap(e) instanceof TimeoutException
        ? new RequestFailure(
            ErrorKind.DEADLINE_EXCEEDED, "No token arrived by the deadline of the patience class.")
        : HttpResponses.toFailure(e);
  }

  private static ByteString endEvents(ChatStream s, ChatRenderer renderer) {
    return renderer.endEvents(s.finishReason(), s.promptTokens(), s.outputTokens());
  }

  private static StringBuilder append(StringBuilder b, List<String> tokens) {
    tokens.forEach(b::append);
    return b;
  }

  private ByteString failureEvent(RequestContext c, Throwable e) {
    RequestFailure f = HttpResponses.toFailure(e);
    logger.atInfo().log(
        "http: stream of request %s failed before its end: %s", c.requestId(), f.kind());
    return ChatRenderer.failureEvent(HttpResponses.body(f, c.requestId()));
  }

  private static HttpResponse responseHead(RequestContext c) {
    return HttpResponse.create()
        .addHeader(RawHeader.create(HttpResponses.REQUEST_ID_HEADER, c.requestId()));
  }

  private void settle(RequestContext c, ChatStream s) {
    String workspace = c.workspace().name();
    if (s.outputTokens() == 0) {
      budgets.release(c.reservation());
      answers.abandon(workspace, c.requestId());
      c.end();
      return;
    }
    long price = c.patience().price(s.promptTokens() + s.outputTokens());
    if (price > c.reservation().tokens()) {
      metrics.countUsageAboveReservation();
      price = c.reservation().tokens();
    }
    c.settleAfter(
        budgets.settle(
            c.reservation(),
            new BillingRecord(
                workspace,
                c.requestId(),
                c.bodyHash(),
                c.chat().model(),
                c.patience().name(),
                s.promptTokens(),
                s.outputTokens(),
                price,
                utcClock.nowMillis())));
    metrics.countBilledTokens(workspace, price);
    if (s.isComplete()) {
      answers.finish(
          workspace, c.requestId(), s.finishReason(), s.promptTokens(), s.outputTokens());
    } else {
      answers.abandon(workspace, c.requestId());
    }
    c.end();
  }
}
