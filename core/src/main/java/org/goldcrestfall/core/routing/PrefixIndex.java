package org.goldcrestfall.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which blocks the engines hold in their prefix caches, from cache events, which are
 * delayed and have gaps, and from this router's own sends. The confidence in an entry decays with
 * time and with each lost event. The number of entries of an engine is bounded; the least recently
 * used one is dropped first. Not thread-safe.
 */
public final class PrefixIndex {

  /**
   * Factor by which a lost event reduces the confidence in an entry, because it may have been an
   * eviction.
   */
  private static final double CONFIDENCE_PER_LOST_EVENT = 0.98;

  private static final class Entry {
    double confidence;
    long updatedAtMillis;
    double lossFactorAtInsert;
  }

  private final class EngineCache extends LinkedHashMap<Long, Entry> {
    long lastSequence = -1;

    /**
     * Product of {@link #CONFIDENCE_PER_LOST_EVENT} over the events lost since the last clearing.
     */
    double lossFactor = 1;

    EngineCache() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Entry> eldest) {
      return size() > maxBlocksPerEngine;
    }
  }

  private final int maxBlocksPerEngine;
  private final long halfLifeMillis;
  private final Map<String, EngineCache> engines = new HashMap<>();

  /**
   * Creates an empty index.
   *
   * @param maxBlocksPerEngine bound on the entries of one engine
   * @param halfLifeMillis time after which an unconfirmed entry has half its confidence
   */
  public PrefixIndex(int maxBlocksPerEngine, long halfLifeMillis) {
    checkArgument(maxBlocksPerEngine > 0, "maxBlocksPerEngine must be positive");
    checkArgument(halfLifeMillis > 0, "halfLifeMillis must be positive");
    this.maxBlocksPerEngine = maxBlocksPerEngine;
    this.halfLifeMillis = halfLifeMillis;
  }

  /**
   * Applies a cache event. An event with a sequence number at or below the last one is a duplicate
   * or out of order and is ignored; it was counted as lost when the gap was detected.
   */
  public void onEvent(String engine, CacheEvent event, long nowMillis) {
    EngineCache e = engines.computeIfAbsent(engine, n -> new EngineCache());
    if (event.sequence() <= e.lastSequence) {
      return;
    }
    if (e.lastSequence >= 0) {
      long lost = event.sequence() - e.lastSequence - 1;
      e.lossFactor *= Math.pow(CONFIDENCE_PER_LOST_EVENT, lost);
      if (e.lossFactor < 1e-9) {
        e.clear();
        e.lossFactor = 1;
      }
    }
    e.lastSequence = event.sequence();
    if (event.stored()) {
      store(e, event.prefix(), 1, nowMillis);
    } else {
      e.remove(event.prefix());
    }
  }

  /** Records that this router sent a prompt, which the engine is expected to cache. */
  public void onSend(String engine, List<Long> prefix, long nowMillis) {
    EngineCache e = engines.computeIfAbsent(engine, n -> new EngineCache());
    for (Long hash : prefix) {
      store(e, hash, 0.9, nowMillis);
    }
  }

  /** Removes the entries of an engine that left or restarted with an empty cache. */
  public void remove(String engine) {
    engines.remove(engine);
  }

  /**
   * Returns the expected number of blocks of {@code prefix} that the engine has cached. A block
   * counts only if all blocks before it are cached, too.
   */
  public double cachedBlocks(String engine, List<Long> prefix, long nowMillis) {
    EngineCache e = engines.get(engine);
    if (e == null) {
      return 0;
    }
    double blocks = 0;
    double confidence = 1;
    for (Long hash : prefix) {
      Entry entry = e.get(hash);
      if (entry == null) {
        return blocks;
      }
      confidence = Math.min(confidence, confidence(e, entry, nowMillis));
      blocks += confidence;
    }
    return blocks;
  }

  /** Returns the number of entries of all engines. */
  public int size() {
    return engines.values().stream().mapToInt(Map::size).sum();
  }

  private double confidence(EngineCache engine, Entry entry, long nowMillis) {
    double ageMillis = Math.max(0, nowMillis - entry.updatedAtMillis);
    double lossDecay = Math.min(1, engine.lossFactor / entry.lossFactorAtInsert);
    return entry.confidence * lossDecay * Math.pow(0.5, ageMillis / halfLifeMillis);
  }

  private void store(EngineCache engine, long hash, double confidence, long nowMillis) {
    Entry entry = engine.computeIfAbsent(hash, h -> new Entry());
    entry.confidence = confidence;
    entry.updatedAtMillis = nowMillis;
    entry.lossFactorAtInsert = engine.lossFactor;
  }
}
