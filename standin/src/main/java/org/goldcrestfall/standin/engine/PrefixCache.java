package org.goldcrestfall.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.routing.PrefixHasher;

/**
 * A cache of prompt blocks with a limited capacity and LRU eviction. Blocks are identified by
 * {@link PrefixHasher}. Each stored or evicted block produces an event, which is published after a
 * delay; a share of the events, between 0 and 1, is never published.
 */
final class PrefixCache {

  /** The storage or eviction of the block with the hash {@code prefix}. */
  record Event(long sequence, String prefix, boolean stored) {}

  private record DelayedEvent(long dueMillis, Event event) {}

  private final MillisClock clock;
  private final int capacityBlocks;
  private final long eventDelayMillis;
  private final double eventLossShare;
  private final UniformRandomProvider random;
  private final LinkedHashMap<Long, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<DelayedEvent> unpublished = new ArrayDeque<>();
  private long sequence;

  PrefixCache(
      MillisClock clock,
      int capacityTokens,
      long eventDelayMillis,
      double eventLossShare,
      long seed) {
    this.clock = clock;
    this.capacityBlocks = capacityTokens / PrefixHasher.BLOCK_TOKENS;
    this.eventDelayMillis = eventDelayMillis;
    this.eventLossShare = eventLossShare;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  /** Returns the length of the longest cached prefix in tokens and stores all blocks. */
  synchronized int lookUpAndStore(String model, String prompt) {
    int cachedBlocks = 0;
    boolean hit = true;
    for (long hash : PrefixHasher.hash(model, prompt)) {
      hit = hit && entries.containsKey(hash);
      cachedBlocks += hit ? 1 : 0;
      store(hash);
    }
    return cachedBlocks * PrefixHasher.BLOCK_TOKENS;
  }

  /** Removes and returns up to {@code limit} events whose delay has passed. */
  synchronized List<Event> takeEvents(int limit) {
    List<Event> events = new ArrayList<>();
    while (events.size() < limit
        && !unpublished.isEmpty()
        && unpublished.peekFirst().dueMillis() <= clock.nowMillis()) {
      events.add(unpublished.pollFirst().event());
    }
    return events;
  }

  private void store(long hash) {
    if (entries.put(hash, true) != null) {
      return;
    }
    enqueueEvent(hash, true);
    if (entries.size() > capacityBlocks) {
      Iterator<Long> oldest = entries.keySet().iterator();
      enqueueEvent(oldest.next(), false);
      oldest.remove();
    }
  }

  private void enqueueEvent(long hash, boolean stored) {
    Event event = new Event(++sequence, PrefixHasher.format(hash), stored);
    if (random.nextDouble() >= eventLossShare) {
      unpublished.add(new DelayedEvent(clock.nowMillis() + eventDelayMillis, event));
    }
  }
}
