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
  private static final int CACHE_BLOCKS = 1_500;
  private static final int CHUNK_TOKENS = 128;
  private static final double STEP_MILLIS = 10;
  private static final double STEP_MILLIS_PER_REQUEST = 0.6;

  /** Receives the progress of a request. */
  interface Listener {
    void onFirstToken();

    void onEnd();
  }

  private static final class Work {
    final BenchRequest request;
    final Listener listener;
    final long number;
    int uncached;
    int generated;

    Work(BenchRequest request, Listener listener, long number) {
      this.request = request;
      this.listener = listener;
      this.number = number;
    }
  }

  private final Simulation simulation;
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final PriorityQueue<Work> waiting;
  private final List<Work> running = new ArrayList<>();
  private List<CacheEvent> events = new ArrayList<>();
  private long sequence;
  private long number;
  private boolean stepping;
  private double debtMillis;
  long promptTokens;
  long cachedTokens;

  /** Creates an idle engine; one that ignores priorities admits in the order of arrival. */
  EngineModel(Simulation simulation, boolean priorities) {
    this.simulation = simulation;
    waiting =
        new PriorityQueue<>(
            Comparator.comparingInt((Work w) -> priorities ? -w.request.patience().priority : 0)
                .thenComparingLong(w -> w.number));
  }

  void submit(BenchRequest request, Listener listener) {
    waiting.add(new Work(request, listener, number++));
    if (!stepping) {
      stepping = true;
      simulation.after(0, this::step);
    }
  }

  int running() {
    return running.size();
  }

  int waiting() {
    return waiting.size();
  }

  /** Returns the cache events since the last call. */
  List<CacheEvent> takeEvents() {
    List<CacheEvent> taken = events;
    events = new ArrayList<>();
    return taken;
  }

  private void step() {
    while (running.size() < SLOTS && !waiting.isEmpty()) {
      admit(waiting.remove());
    }
    if (running.isEmpty()) {
      stepping = false;
      return;
    }
    int budget = CHUNK_TOKENS;
    List<Work> generating = new ArrayList<>();
    for (Work w : running) {
      int tokens = Math.min(budget, w.uncached);
      w.uncached -= tokens;
      budget -= tokens;
      if (w.uncached == 0) {
        generating.add(w);
      }
    }
    debtMillis +=
        STEP_MILLIS
            + generating.size() * STEP_MILLIS_PER_REQUEST
            + (CHUNK_TOKENS - budget) * PREFILL_MILLIS_PER_TOKEN;
    long millis = (long) debtMillis;
    debtMillis -= millis;
    simulation.after(millis, () -> finishStep(generating));
  }

  private void finishStep(List<Work> generating) {
    for (Work w : generating) {
      if (w.generated++ == 0) {
        w.request.prefix().forEach(this::store);
        w.listener.onFirstToken();
      }
      if (w.generated >= w.request.outputTokens()) {
        running.remove(w);
        w.listener.onEnd();
      }
    }
    step();
  }

  private void admit(Work work) {
    int hits = 0;
    for (Long hash : work.request.prefix()) {
      if (cache.get(hash) == null) {
        break;
      }
      hits++;
    }
    int cached = hits * PrefixHasher.BLOCK_TOKENS;
    // The last token is always computed, because its output is the first token of the answer.
    work.uncached = Math.max(1, work.request.promptTokens() - cached);
    promptTokens += work.request.promptTokens();
    cachedTokens += cached;
    running.add(work);
  }

  private void store(long hash) {
    if (cache.put(hash, true) == null) {
      events.add(new CacheEvent(sequence++, hash, true));
    }
    if (cache.size() > CACHE_BLOCKS) {
      long eldest = cache.keySet().iterator().next();
      cache.remove(eldest);
      events.add(new CacheEvent(sequence++, eldest, false));
    }
  }
}
