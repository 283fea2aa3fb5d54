package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.PriorityQueue;
import org.goldcrestfall.core.routing.CacheEvent;
import org.goldcrestfall.core.routing.PrefixHasher;

/**
 * A step-by-step model of an inference engine with continuous batching. Each step generates one
 * token for every decoding request and prefills a chunk of prompt tokens in the order of admission.
 * Waiting requests are admitted to free slots by priority. An LRU cache holds complete prompt
 * blocks.
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

  /** A submitted request with its progress in this engine. */
  private static final class EngineRequest {
    final BenchRequest request;
    final Listener listener;
    final long submissionNumber;
    int remainingPrefillTokens;
    int generatedTokens;

    EngineRequest(BenchRequest request, Listener listener, long submissionNumber) {
      this.request = request;
      this.listener = listener;
      this.submissionNumber = submissionNumber;
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

  /** Fraction of a millisecond of the past steps, added to the next step. */
  private double unscheduledMillis;

  long promptTokens;
  long cachedTokens;

  /** Creates an idle engine, which admits by priority or else in the order of arrival. */
  EngineModel(Simulation simulation, boolean usePriorities) {
    this.simulation = simulation;
    waiting =
        new PriorityQueue<>(
            Comparator.comparingInt(
                    (EngineRequest r) -> usePriorities ? -r.request.patienceClass().priority : 0)
                .thenComparingLong(r -> r.submissionNumber));
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

  /** Returns and removes the cache events since the last call. */
  List<CacheEvent> drainEvents() {
    List<CacheEvent> drained = unreportedEvents;
    unreportedEvents = new ArrayList<>();
    return drained;
  }

  private void step() {
    while (running.size() < SLOTS && !waiting.isEmpty()) {
      admit(waiting.remove());
    }
    if (running.isEmpty()) {
      stepScheduled = false;
      return;
    }
    int remainingChunkTokens = PREFILL_CHUNK_TOKENS;
    List<EngineRequest> decoding = new ArrayList<>();
    for (EngineRequest r : running) {
      int tokens = Math.min(remainingChunkTokens, r.remainingPrefillTokens);
      r.remainingPrefillTokens -= tokens;
      remainingChunkTokens -= tokens;
      if (r.remainingPrefillTokens == 0) {
        decoding.add(r);
      }
    }
    unscheduledMillis +=
        BASE_STEP_MILLIS
            + decoding.size() * STEP_MILLIS_PER_DECODING_REQUEST
            + (PREFILL_CHUNK_TOKENS - remainingChunkTokens) * PREFILL_MILLIS_PER_TOKEN;
    long millis = (long) unscheduledMillis;
    unscheduledMillis -= millis;
    simulation.scheduleAfter(millis, () -> finishStep(decoding));
  }

  private void finishStep(List<EngineRequest> decoding) {
    for (EngineRequest r : decoding) {
      if (r.generatedTokens++ == 0) {
        r.request.prefixHashes().forEach(this::cacheBlock);
        r.listener.onFirstToken();
      }
      if (r.generatedTokens >= r.request.outputTokens()) {
        running.remove(r);
        r.listener.onEnd();
      }
    }
    step();
  }

  private void admit(EngineRequest admitted) {
    int cachedBlocks = 0;
    for (Long hash : admitted.request.prefixHashes()) {
      if (cache.get(hash) == null) {
        break;
      }
      cachedBlocks++;
    }
    int cachedPrefixTokens = cachedBlocks * PrefixHasher.BLOCK_TOKENS;
    // The last prompt token is always computed because its output is the first answer token.
    admitted.remainingPrefillTokens =
        Math.max(1, admitted.request.promptTokens() - cachedPrefixTokens);
    promptTokens += admitted.request.promptTokens();
    cachedTokens += cachedPrefixTokens;
    running.add(admitted);
  }

  private void cacheBlock(long hash) {
    if (cache.put(hash, true) == null) {
      unreportedEvents.add(new CacheEvent(nextEventSequence++, hash, true));
    }
    if (cache.size() > CACHE_CAPACITY_BLOCKS) {
      long evicted = cache.keySet().iterator().next();
      cache.remove(evicted);
      unreportedEvents.add(new CacheEvent(nextEventSequence++, evicted, false));
    }
  }
}
