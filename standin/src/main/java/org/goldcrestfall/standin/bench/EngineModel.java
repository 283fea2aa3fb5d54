package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.PriorityQueue;
import org.goldcrestfall.core.routing.CacheEvent;
import org.goldcrestfall.core.routing.PrefixHasher;

/**
 * An engine with continuous batching, modelled step by step: each step generates one token for
 * every decoding request and prefills a chunk of prompt tokens in the order of admission. Waiting
 * requests are admitted to slots by priority. Whole blocks of prompts stay in an LRU cache.
 */
final class EngineModel {

  static final int SLOTS = 16;
  static final double PREFILL_MILLIS_PER_TOKEN = 0.2;
  private static final int CACHE_CAPACITY_BLOCKS = 1_500;
  private static final int PREFILL_CHUNK_TOKENS = 128;
  private static final double BASE_STEP_MILLIS = 10;
  private static final double STEP_MILLIS_PER_DECODING_REQUEST = 0.6;

  /** Receives the progress of a request. */
  interface Listener {
    void onFirstToken();

    void onEnd();
  }

  private static final class EngineRequest {
    final BenchRequest request;
    final Listener listener;
    final long submissionNumber;
    int remainingPrefillTokens;
    int generatedTokens;

    EngineRequest(BenchRequest request, Listener listener, long number) {
      this.request = request;
      this.listener = listener;
      this.submissionNumber = number;
    }
  }

  private final Simulation simulation;
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final PriorityQueue<EngineRequest> waiting;
  private final List<EngineRequest> running = new ArrayList<>();
  private List<CacheEvent> unreportedEvents = new ArrayList<>();
  private long nextEventSequence;
  private long nextSubmissionNumber;
  private boolean stepScheduled;
  private double unscheduledMillis;
  long promptTokens;
  long cachedTokens;

  /** Creates an idle engine; one that ignores priorities admits in the order of arrival. */
  EngineModel(Simulation simulation, boolean priorities) {
    this.simulation = simulation;
    waiting =
        new PriorityQueue<>(
            Comparator.comparingInt(
                    (EngineRequest w) -> priorities ? -w.request.patienceClass().priority : 0)
                .thenComparingLong(w -> w.submissionNumber));
  }

  void submit(BenchRequest request, Listener listener) {
    waiting.add(new EngineRequest(request, listener, nextSubmissionNumber++));
    if (!stepScheduled) {
      stepScheduled = true;
      simulation.scheduleAfter(0, this::step);
    }
  }

  int running() {
    return running.size();
  }

  int waiting() {
    return waiting.size();
  }

  /** Returns the cache events since the last call. */
  List<CacheEvent> drainEvents() {
    List<CacheEvent> taken = unreportedEvents;
    unreportedEvents = new ArrayList<>();
    return taken;
  }

  private void step() {
    while (running.size() < SLOTS && !waiting.isEmpty()) {
      admit(waiting.remove());
    }
    if (running.isEmpty()) {
      stepScheduled = false;
      return;
    }
    int budget = PREFILL_CHUNK_TOKENS;
    List<EngineRequest> generating = new ArrayList<>();
    for (EngineRequest w : running) {
      int tokens = Math.min(budget, w.remainingPrefillTokens);
      w.remainingPrefillTokens -= tokens;
      budget -= tokens;
      if (w.remainingPrefillTokens == 0) {
        generating.add(w);
      }
    }
    unscheduledMillis +=
        BASE_STEP_MILLIS
            + generating.size() * STEP_MILLIS_PER_DECODING_REQUEST
            + (PREFILL_CHUNK_TOKENS - budget) * PREFILL_MILLIS_PER_TOKEN;
    long millis = (long) unscheduledMillis;
    unscheduledMillis -= millis;
    simulation.scheduleAfter(millis, () -> finishStep(generating));
  }

  private void finishStep(List<EngineRequest> generating) {
    for (EngineRequest w : generating) {
      if (w.generatedTokens++ == 0) {
        w.request.prefixHashes().forEach(this::cacheBlock);
        w.listener.onFirstToken();
      }
      if (w.generatedTokens >= w.request.outputTokens()) {
        running.remove(w);
        w.listener.onEnd();
      }
    }
    step();
  }

  private void admit(EngineRequest work) {
    int hits = 0;
    for (Long hash : work.request.prefixHashes()) {
      if (cache.get(hash) == null) {
        break;
      }
      hits++;
    }
    int cached = hits * PrefixHasher.BLOCK_TOKENS;
    // The last token is always computed, because its output is the first token of the answer.
    work.remainingPrefillTokens = Math.max(1, work.request.promptTokens() - cached);
    promptTokens += work.request.promptTokens();
    cachedTokens += cached;
    running.add(work);
  }

  private void cacheBlock(long hash) {
    if (cache.put(hash, true) == null) {
      unreportedEvents.add(new CacheEvent(nextEventSequence++, hash, true));
    }
    if (cache.size() > CACHE_CAPACITY_BLOCKS) {
      long eldest = cache.keySet().iterator().next();
      cache.remove(eldest);
      unreportedEvents.add(new CacheEvent(nextEventSequence++, eldest, false));
    }
  }
}
