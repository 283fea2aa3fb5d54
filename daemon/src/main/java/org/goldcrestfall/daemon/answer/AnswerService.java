package org.goldcrestfall.daemon.answer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.stream.AnswerKey;
import org.goldcrestfall.core.stream.AnswerLookup;
import org.goldcrestfall.core.stream.AnswerState;
import org.goldcrestfall.core.stream.AnswerStore;

/** The answers of this router with those who wait for their next tokens. Thread-safe. */
public final class AnswerService implements AnswerRecorder {

  private final AnswerStore store;
  private final MillisClock clock;
  private final Map<AnswerKey, End> ends;
  private final Map<AnswerKey, List<CompletableFuture<Void>>> waiting = new HashMap<>();

  private record End(String finishReason, long promptTokens, long outputTokens) {}

  /**
   * Creates the service.
   *
   * @param maxAnswers bound on the kept answers
   * @param maxBytes bound on their memory
   * @param maxAgeMillis time that a finished answer is kept
   */
  public AnswerService(int maxAnswers, long maxBytes, long maxAgeMillis, MillisClock clock) {
    store = new AnswerStore(maxAnswers, maxBytes, maxAgeMillis);
    this.clock = clock;
    ends =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<AnswerKey, End> eldest) {
            return size() > maxAnswers;
          }
        };
  }

  /** Looks a request up, and registers it as running if it is unknown. */
  public synchronized AnswerLookup begin(AnswerKey key, String bodyHash) {
    return store.begin(key, bodyHash, clock.nowMillis());
  }

  /**
   * Returns the next part of an answer, as soon as there is one. Fails with {@link RequestFailure}
   * if the answer was abandoned or is no longer kept.
   */
  public CompletionStage<AnswerPart> next(AnswerKey key, long offset) {
    CompletableFuture<Void> turn;
    synchronized (this) {
      Optional<List<String>> tokens = store.read(key, Math.toIntExact(offset));
      if (tokens.isEmpty()) {
        return CompletableFuture.failedFuture(
            new RequestFailure(
                ErrorKind.UPSTREAM_FAILED, "The answer broke off before it was whole."));
      }
      boolean finished = store.state(key).orElseThrow() == AnswerState.FINISHED;
      End end = finished ? ends.get(key) : null;
      if (end != null) {
        return CompletableFuture.completedFuture(
            new AnswerPart(
                offset, tokens.get(), end.finishReason(), end.promptTokens(), end.outputTokens()));
      }
      if (!tokens.get().isEmpty()) {
        return CompletableFuture.completedFuture(new AnswerPart(offset, tokens.get(), null, 0, 0));
      }
      turn = new CompletableFuture<>();
      waiting.computeIfAbsent(key, k -> new ArrayList<>()).add(turn);
    }
    return turn.thenCompose(v -> next(key, offset));
  }

  @Override
  public void append(String workspace, String requestId, List<String> tokens) {
    AnswerKey key = new AnswerKey(workspace, requestId);
    List<CompletableFuture<Void>> turns;
    synchronized (this) {
      tokens.forEach(t -> store.append(key, t));
      turns = takeWaiting(key);
    }
    turns.forEach(t -> t.complete(null));
  }

  @Override
  public void finish(
      String workspace,
      String requestId,
      String finishReason,
      long promptTokens,
      long outputTokens) {
    AnswerKey key = new AnswerKey(workspace, requestId);
    List<CompletableFuture<Void>> turns;
    synchronized (this) {
      if (store.state(key).isPresent()) {
        ends.put(key, new End(finishReason, promptTokens, outputTokens));
      }
      store.finish(key, clock.nowMillis());
      turns = takeWaiting(key);
    }
    turns.forEach(t -> t.complete(null));
  }

  @Override
  public void abandon(String workspace, String requestId) {
    AnswerKey key = new AnswerKey(workspace, requestId);
    List<CompletableFuture<Void>> turns;
    synchronized (this) {
      store.abandon(key);
      turns = takeWaiting(key);
    }
    turns.forEach(t -> t.complete(null));
  }

  private List<CompletableFuture<Void>> takeWaiting(AnswerKey key) {
    List<CompletableFuture<Void>> turns = waiting.remove(key);
    return turns == null ? List.of() : turns;
  }
}
