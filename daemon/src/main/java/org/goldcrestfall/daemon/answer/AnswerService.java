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

/** Stores the answers of this router, and lets readers wait for the next tokens. Thread-safe. */
public final class AnswerService implements AnswerRecorder {

  private final AnswerStore store;
  private final MillisClock clock;
  private final Map<AnswerKey, Completion> completions;
  private final Map<AnswerKey, List<CompletableFuture<Void>>> waiters = new HashMap<>();

  private record Completion(String finishReason, long promptTokens, long outputTokens) {}

  /**
   * Creates the service.
   *
   * @param maxAnswers maximum number of stored answers
   * @param maxBytes maximum estimated memory of the stored answers, in bytes
   * @param maxAgeMillis time for which a finished answer is kept
   */
  public AnswerService(int maxAnswers, long maxBytes, long maxAgeMillis, MillisClock clock) {
    store = new AnswerStore(maxAnswers, maxBytes, maxAgeMillis);
    this.clock = clock;
    completions =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<AnswerKey, Completion> eldest) {
            return size() > maxAnswers;
          }
        };
  }

  /** Looks up a request, and registers it as running if it is unknown. */
  public synchronized AnswerLookup begin(AnswerKey key, String bodyHash) {
    return store.begin(key, bodyHash, clock.nowMillis());
  }

  /**
   * Returns the tokens of an answer from {@code offset} on, as soon as there are any or the answer
   * is complete. Fails with {@link RequestFailure} if the answer was abandoned or is no longer
   * kept.
   */
  public CompletionStage<AnswerPart> readFrom(AnswerKey key, long offset) {
    CompletableFuture<Void> waiter;
    synchronized (this) {
      Optional<List<String>> tokens = store.read(key, Math.toIntExact(offset));
      if (tokens.isEmpty()) {
        return CompletableFuture.failedFuture(
            new RequestFailure(
                ErrorKind.UPSTREAM_FAILED, "The answer broke off before it was whole."));
      }
      boolean finished = store.state(key).orElseThrow() == AnswerState.FINISHED;
      Completion completion = finished ? completions.get(key) : null;
      if (completion != null) {
        return CompletableFuture.completedFuture(
            new AnswerPart(
                offset,
                tokens.get(),
                completion.finishReason(),
                completion.promptTokens(),
                completion.outputTokens()));
      }
      if (!tokens.get().isEmpty()) {
        return CompletableFuture.completedFuture(new AnswerPart(offset, tokens.get(), null, 0, 0));
      }
      waiter = new CompletableFuture<>();
      waiters.computeIfAbsent(key, k -> new ArrayList<>()).add(waiter);
    }
    return waiter.thenCompose(v -> readFrom(key, offset));
  }

  @Override
  public void append(String workspace, String requestId, List<String> tokens) {
    AnswerKey key = new AnswerKey(workspace, requestId);
    List<CompletableFuture<Void>> removedWaiters;
    synchronized (this) {
      tokens.forEach(t -> store.append(key, t));
      removedWaiters = removeWaiters(key);
    }
    removedWaiters.forEach(w -> w.complete(null));
  }

  @Override
  public void finish(
      String workspace,
      String requestId,
      String finishReason,
      long promptTokens,
      long outputTokens) {
    AnswerKey key = new AnswerKey(workspace, requestId);
    List<CompletableFuture<Void>> removedWaiters;
    synchronized (this) {
      if (store.state(key).isPresent()) {
        completions.put(key, new Completion(finishReason, promptTokens, outputTokens));
      }
      store.finish(key, clock.nowMillis());
      removedWaiters = removeWaiters(key);
    }
    removedWaiters.forEach(w -> w.complete(null));
  }

  @Override
  public void abandon(String workspace, String requestId) {
    AnswerKey key = new AnswerKey(workspace, requestId);
    List<CompletableFuture<Void>> removedWaiters;
    synchronized (this) {
      store.abandon(key);
      removedWaiters = removeWaiters(key);
    }
    removedWaiters.forEach(w -> w.complete(null));
  }

  private List<CompletableFuture<Void>> removeWaiters(AnswerKey key) {
    List<CompletableFuture<Void>> removedWaiters = waiters.remove(key);
    return removedWaiters == null ? List.of() : removedWaiters;
  }
}
