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
import org.goldcrestfall.core.retry.Failure;
import org.goldcrestfall.core.retry.RetryDecision;
import org.goldcrestfall.core.stream.AttemptStart;
import org.goldcrestfall.core.stream.StreamAssembler;
import org.goldcrestfall.core.stream.StreamEvent;
import org.goldcrestfall.core.stream.StreamResult;
import org.goldcrestfall.daemon.http.Answers;

/**
 * One chat completion as a stream of tokens, over as many engine attempts as the retry policy
 * allows. When an engine fails, the next one resumes from the last token passed on. All state is
 * confined to the running stream; the results may be read once it has ended.
 */
public final class ChatStream {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest silence of an engine within a stream before another engine takes over. */
  static final long STALL_MILLIS = 10_000;

  /** Time that a broken stream may take to resume, once its first token is out. */
  static final long RESUME_MILLIS = 20_000;

  private final ChatCall call;
  private final String requestId;
  private final int priority;
  private final long deadlineMillis;
  private final Parts parts;
  private final StreamAssembler assembler;
  private final Set<String> failed = new HashSet<>();
  private EngineSelector.Selection engine;
  private boolean resumable = true;
  private boolean sent;
  private boolean cut;
  private boolean finishSeen;
  private long promptTokens = -1;
  private String finishReason = "stop";

  /** What all streams share. */
  public record Parts(
      EngineSelector selector, EngineClient client, RetryGate retries, MillisClock clock) {}

  /**
   * Creates the stream; nothing is sent before {@link #tokens} runs.
   *
   * @param deadlineMillis time by which the first token is due
   */
  public ChatStream(
      ChatCall call, String requestId, int priority, long deadlineMillis, Parts parts) {
    this.call = call;
    this.requestId = requestId;
    this.priority = priority;
    this.deadlineMillis = deadlineMillis;
    this.parts = parts;
    assembler = new StreamAssembler(requestId);
  }

  /**
   * Returns the tokens in order, in the batches in which the engine sent them. Fails with {@link
   * RequestFailure}. Cancelling it cancels the request at the engine. Can be run once.
   */
  public Source<List<String>, NotUsed> tokens() {
    parts.retries().onRequest();
    PFBuilder<Throwable, Graph<SourceShape<List<String>>, NotUsed>> next = new PFBuilder<>();
    return attempt()
        .recoverWithRetries(
            -1, next.match(Throwable.class, t -> !isFinal(t), this::afterFailure).build())
        .watchTermination(
            (m, done) -> {
              done.whenComplete((d, e) -> endAttempt());
              return m;
            });
  }

  /** A decided failure must not be recovered again, which would never end. */
  private static boolean isFinal(Throwable t) {
    return Answers.unwrap(t) instanceof RequestFailure;
  }

  /** Returns the number of tokens passed on. */
  public long outputTokens() {
    return assembler.passedOn();
  }

  /** Returns the prompt tokens that the engine reported, at most the bound of the call. */
  public long promptTokens() {
    return promptTokens < 0 ? call.promptBound() : Math.min(promptTokens, call.promptBound());
  }

  /** Returns whether the whole answer was passed on. */
  public boolean isWhole() {
    return assembler.complete();
  }

  /** Returns why the answer ended. */
  public String finishReason() {
    return finishReason;
  }

  private Source<List<String>, NotUsed> attempt() {
    Optional<EngineSelector.Selection> s = parts.selector().select(call, failed);
    if (s.isEmpty() && !failed.isEmpty()) {
      failed.clear();
      s = parts.selector().select(call, failed);
    }
    if (s.isEmpty()) {
      return Source.failed(
          new NotSentException("no engine for model " + call.model() + " is available", null));
    }
    engine = s.get();
    finishSeen = false;
    AttemptStart start = assembler.startAttempt(resumable);
    long remaining = Math.max(1, deadlineMillis - parts.clock().nowMillis());
    byte[] body = call.engineBody(requestId, priority, start.resumeFrom());
    return Source.completionStageSource(parts.client().open(engine.address(), body, remaining))
        .mapMaterializedValue(m -> NotUsed.getInstance())
        .via(new StallTimeout<>(parts.clock(), Math.max(STALL_MILLIS, remaining)))
        .map(events -> accept(start.attempt(), events))
        .takeWhile(tokens -> !cut, true)
        .filter(tokens -> !tokens.isEmpty())
        .concatLazy(Source.lazySource(() -> checkWhole(start.attempt())));
  }

  private Source<List<String>, NotUsed> checkWhole(int attempt) {
    if (finishSeen && !assembler.complete()) {
      // The engine ended the stream regularly but reports no usage.
      assembler.onEvent(new StreamEvent.End(attempt, requestId, assembler.passedOn()));
    }
    return assembler.complete()
        ? Source.empty()
        : Source.failed(new IOException("engine " + engine.name() + " ended the stream early"));
  }

  private List<String> accept(int attempt, List<TokenEvent> events) throws IOException {
    sent = true;
    List<String> out = new ArrayList<>(events.size());
    for (TokenEvent e : events) {
      if (e.hasUsage()) {
        promptTokens = e.promptTokens();
      }
      if (e.finishReason() != null) {
        finishReason = e.finishReason();
        finishSeen = true;
      }
      if (e.hasToken() && !assembler.complete()) {
        acceptToken(attempt, e, out);
      }
      if (e.hasUsage() && e.outputTokens() >= 0 && !assembler.complete()) {
        check(assembler.onEvent(new StreamEvent.End(attempt, id(e), e.outputTokens())));
      }
    }
    return out;
  }

  private void acceptToken(int attempt, TokenEvent e, List<String> out) throws IOException {
    if (assembler.passedOn() >= call.maxTokens() && e.offset() >= assembler.passedOn()) {
      // More output than was reserved is not passed on, so that it cannot be billed.
      finishReason = "length";
      cut = true;
      check(assembler.onEvent(new StreamEvent.End(attempt, id(e), assembler.passedOn())));
      return;
    }
    StreamResult r = assembler.onEvent(new StreamEvent.Token(attempt, id(e), e.offset(), e.text()));
    check(r);
    if (r == StreamResult.PASS) {
      if (assembler.passedOn() == 1) {
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
      // An engine that cannot continue the text at the offset is asked for the whole answer.
      resumable = false;
    }
    if (r.attemptFailed()) {
      throw new IOException("engine " + engine.name() + " sent a stream that does not fit: " + r);
    }
  }

  private Graph<SourceShape<List<String>>, NotUsed> afterFailure(Throwable t) {
    Throwable cause = Answers.unwrap(t);
    boolean notSent = cause instanceof NotSentException;
    sent |= !notSent;
    if (engine != null) {
      failed.add(engine.name());
      engine.failed();
      engine = null;
    }
    long now = parts.clock().nowMillis();
    long limit = assembler.passedOn() > 0 ? now + RESUME_MILLIS : deadlineMillis;
    int attempts = Math.max(1, assembler.attempt());
    RetryDecision d =
        parts
            .retries()
            .decide(new Failure(!notSent, true, attempts, limit, 0, assembler.passedOn() > 0));
    logger.atFine().log(
        "upstream: attempt %s of request %s failed (%s): %s", attempts, requestId, cause, d);
    if (!d.retry()) {
      return Source.failed(giveUp(cause, d));
    }
    return Source.lazySource(this::attempt)
        .initialDelay(Duration.ofMillis(d.delayMillis()))
        .mapMaterializedValue(m -> NotUsed.getInstance());
  }

  private RequestFailure giveUp(Throwable cause, RetryDecision d) {
    if (!sent) {
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
