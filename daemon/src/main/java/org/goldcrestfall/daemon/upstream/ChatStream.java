package org.goldcrestfall.daemon.upstream;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.Graph;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.javadsl.Source;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.retry.FailedAttempt;
import org.goldcrestfall.core.retry.RetryDecision;
import org.goldcrestfall.core.stream.AttemptStart;
import org.goldcrestfall.core.stream.StreamAssembler;
import org.goldcrestfall.core.stream.StreamEvent;
import org.goldcrestfall.core.stream.StreamResult;
import org.goldcrestfall.daemon.http.HttpResponses;

/**
 * One chat completion as a stream of tokens, produced by as many engine attempts as the retry
 * policy allows. When an engine fails, the next one resumes after the last forwarded token. All
 * state is confined to the running stream; the results may be read once it has ended.
 */
public final class ChatStream {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time without a token from an engine after which the attempt fails. */
  static final long STALL_TIMEOUT_MILLIS = 10_000;

  /** Time limit for resuming a failed stream whose first token was already forwarded. */
  static final long RESUME_TIMEOUT_MILLIS = 20_000;

  private final ChatCall call;
  private final String requestId;
  private final int priority;
  private final long deadlineMillis;
  private final Dependencies dependencies;
  private final StreamAssembler assembler;
  private final Set<String> failedEngines = new HashSet<>();
  private EngineSelector.Selection engine;
  private boolean resumable = true;
  private boolean anyAttemptSent;
  private boolean truncated;
  private boolean finishReasonSeen;
  private long promptTokens = -1;
  private String finishReason = "stop";

  /** The dependencies that all streams share. */
  public record Dependencies(
      EngineSelector selector, EngineClient client, SharedRetryPolicy retries, MillisClock clock) {}

  /**
   * Creates the stream; nothing is sent before {@link #tokens} runs.
   *
   * @param deadlineMillis time by which the first token is due
   */
  public ChatStream(
      ChatCall call,
      String requestId,
      int priority,
      long deadlineMillis,
      Dependencies dependencies) {
    this.call = call;
    this.requestId = requestId;
    this.priority = priority;
    this.deadlineMillis = deadlineMillis;
    this.dependencies = dependencies;
    assembler = new StreamAssembler(requestId);
  }

  /**
   * Returns the tokens in order, in the batches in which the engine sent them. The source fails
   * with {@link RequestFailure}; cancelling it cancels the request at the engine. It can be run
   * once.
   */
  public Source<List<String>, NotUsed> tokens() {
    dependencies.retries().onRequest();
    PFBuilder<Throwable, Graph<SourceShape<List<String>>, NotUsed>> recovery = new PFBuilder<>();
    return attempt()
        .recoverWithRetries(
            -1, recovery.match(Throwable.class, t -> !isFinal(t), this::retryOrFail).build())
        .watchTermination(
            (m, done) -> {
              done.whenComplete((d, e) -> endAttempt());
              return m;
            });
  }

  /** A final failure must not be recovered again, or the stream would never end. */
  private static boolean isFinal(Throwable t) {
    return HttpResponses.unwrap(t) instanceof RequestFailure;
  }

  /** Returns the number of forwarded tokens. */
  public long outputTokens() {
    return assembler.forwardedTokens();
  }

  /**
   * Returns the number of prompt tokens that the engine reported, or the upper bound of the call if
   * that is lower or the engine reported none.
   */
  public long promptTokens() {
    return promptTokens < 0
        ? call.promptTokenBound()
        : Math.min(promptTokens, call.promptTokenBound());
  }

  /** Returns whether the complete answer was forwarded. */
  public boolean isComplete() {
    return assembler.complete();
  }

  /** Returns the finish reason of the chat-completions API. */
  public String finishReason() {
    return finishReason;
  }

  private Source<List<String>, NotUsed> attempt() {
    Optional<EngineSelector.Selection> s = dependencies.selector().select(call, failedEngines);
    if (s.isEmpty() && !failedEngines.isEmpty()) {
      // Every available engine has failed this request, so each may be tried again.
      failedEngines.clear();
      s = dependencies.selector().select(call, failedEngines);
    }
    if (s.isEmpty()) {
      return Source.failed(
          new NotSentException("no engine for model " + call.model() + " is available", null));
    }
    engine = s.get();
    finishReasonSeen = false;
    AttemptStart start = assembler.startAttempt(resumable);
    long remaining = Math.max(1, deadlineMillis - dependencies.clock().nowMillis());
    byte[] body = call.engineBody(requestId, priority, start.resumeFrom());
    return Source.completionStageSource(
            dependencies.client().open(engine.address(), body, remaining))
        .mapMaterializedValue(m -> NotUsed.getInstance())
        .map(events -> processEvents(start.attempt(), events))
        .takeWhile(tokens -> !truncated, true)
        .filter(tokens -> !tokens.isEmpty())
        // Only tokens count: an engine that stalls may still send events without any.
        .via(new StallTimeout<>(dependencies.clock(), Math.max(STALL_TIMEOUT_MILLIS, remaining)))
        .concatLazy(Source.lazySource(() -> checkComplete(start.attempt())));
  }

  private Source<List<String>, NotUsed> checkComplete(int attempt) {
    if (finishReasonSeen && !assembler.complete()) {
      // The engine finished the answer but reported no usage.
      assembler.onEvent(new StreamEvent.End(attempt, requestId, assembler.forwardedTokens()));
    }
    return assembler.complete()
        ? Source.empty()
        : Source.failed(new IOException("engine " + engine.name() + " ended the stream early"));
  }

  private List<String> processEvents(int attempt, List<TokenEvent> events) throws IOException {
    anyAttemptSent = true;
    List<String> out = new ArrayList<>(events.size());
    for (TokenEvent e : events) {
      if (e.hasUsage()) {
        promptTokens = e.promptTokens();
      }
      if (e.finishReason() != null) {
        finishReason = e.finishReason();
        finishReasonSeen = true;
      }
      if (e.hasToken() && !assembler.complete()) {
        processToken(attempt, e, out);
      }
      if (e.hasUsage() && e.outputTokens() >= 0 && !assembler.complete()) {
        check(assembler.onEvent(new StreamEvent.End(attempt, id(e), e.outputTokens())));
      }
    }
    return out;
  }

  private void processToken(int attempt, TokenEvent e, List<String> out) throws IOException {
    if (assembler.forwardedTokens() >= call.maxTokens()
        && e.offset() >= assembler.forwardedTokens()) {
      // Output beyond the reserved tokens is not forwarded, so that it cannot be billed.
      finishReason = "length";
      truncated = true;
      check(assembler.onEvent(new StreamEvent.End(attempt, id(e), assembler.forwardedTokens())));
      return;
    }
    StreamResult r = assembler.onEvent(new StreamEvent.Token(attempt, id(e), e.offset(), e.text()));
    check(r);
    if (r == StreamResult.PASS) {
      if (assembler.forwardedTokens() == 1) {
        engine.firstToken();
      }
      out.add(e.text());
    }
  }

  private String id(TokenEvent e) {
    return e.requestId() == null ? requestId : e.requestId();
  }

  private void check(StreamResult r) throws IOException {
    if (r == StreamResult.DIVERGED || r == StreamResult.GAP) {
      // The engine cannot continue the text at the offset, so later attempts restart the answer.
      resumable = false;
    }
    if (r.attemptFailed()) {
      throw new IOException("engine " + engine.name() + " sent a stream that does not fit: " + r);
    }
  }

  private Graph<SourceShape<List<String>>, NotUsed> retryOrFail(Throwable t) {
    Throwable cause = HttpResponses.unwrap(t);
    boolean notSent = cause instanceof NotSentException;
    anyAttemptSent |= !notSent;
    if (engine != null) {
      failedEngines.add(engine.name());
      engine.failed();
      engine = null;
    }
    long now = dependencies.clock().nowMillis();
    long retryDeadlineMillis =
        assembler.forwardedTokens() > 0 ? now + RESUME_TIMEOUT_MILLIS : deadlineMillis;
    int attempts = Math.max(1, assembler.attempt());
    RetryDecision d =
        dependencies
            .retries()
            .decide(
                new FailedAttempt(
                    !notSent,
                    true,
                    attempts,
                    retryDeadlineMillis,
                    0,
                    assembler.forwardedTokens() > 0));
    logger.atFine().log(
        "upstream: attempt %s of request %s failed (%s): %s", attempts, requestId, cause, d);
    if (!d.retry()) {
      return Source.failed(finalFailure(cause, d));
    }
    return Source.lazySource(this::attempt)
        .initialDelay(Duration.ofMillis(d.delayMillis()))
        .mapMaterializedValue(m -> NotUsed.getInstance());
  }

  private RequestFailure finalFailure(Throwable cause, RetryDecision d) {
    if (!anyAttemptSent) {
      return new RequestFailure(
          ErrorKind.NO_UPSTREAM, "No engine accepted the request: " + cause.getMessage() + ".");
    }
    if (d.verdict() == RetryDecision.Verdict.DEADLINE_TOO_NEAR) {
      return new RequestFailure(
          ErrorKind.DEADLINE_EXCEEDED, "The deadline passed before an engine could answer.");
    }
    return new RequestFailure(
        ErrorKind.UPSTREAM_FAILED, "The engines failed: " + cause.getMessage() + ".");
  }

  private void endAttempt() {
    if (engine != null) {
      engine.finished();
      engine = null;
    }
  }
}
