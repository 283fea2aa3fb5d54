package org.goldcrestfall.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.standin.answer.Prompt;

/**
 * A cache of prompt prefixes in limited memory; the least recently used prefix is evicted first. A
 * prefix occupies the tokens that it adds to the next shorter one. Its events are published late,
 * and a share of them is never published.
 */
final class PrefixCache {

  /** A stored or evicted prefix. */
  record Event(long sequence, String prefix, boolean stored) {}

  private record LateEvent(long dueMillis, Event event) {}

  private final MillisClock clock;
  private final int capacityTokens;
  private final long delayMillis;
  private final double gapShare;
  private final UniformRandomProvider random;
  private final LinkedHashMap<String, Integer> entries = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<LateEvent> unpublished = new ArrayDeque<>();
  private int usedTokens;
  private long sequence;

  PrefixCache(MillisClock clock, int capacityTokens, long delayMillis, double gapShare, long seed) {
    this.clock = clock;
    this.capacityTokens = capacityTokens;
    this.delayMillis = delayMillis;
    this.gapShare = gapShare;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  /** Returns the tokens of the longest cached prefix, then stores all prefixes of the prompt. */
  synchronized int use(Prompt prompt) {
    int cached = 0;
    int shorter = 0;
    boolean hit = true;
    for (Prompt.Prefix prefix : prompt.prefixes()) {
      hit = hit && entries.get(prefix.id()) != null;
      if (hit) {
        cached = prefix.tokens();
      }
      store(prefix.id(), prefix.tokens() - shorter);
      shorter = prefix.tokens();
    }
    return cached;
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

  private void store(String id, int tokens) {
    if (tokens > capacityTokens || entries.putIfAbsent(id, tokens) != null) {
      return;
    }
    usedTokens += tokens;
    publish(id, true);
    Iterator<Map.Entry<String, Integer>> oldest = entries.entrySet().iterator();
    while (usedTokens > capacityTokens) {
      Map.Entry<String, Integer> evicted = oldest.next();
      usedTokens -= evicted.getValue();
      publish(evicted.getKey(), false);
      oldest.remove();
    }
  }

  private void publish(String id, boolean stored) {
    Event event = new Event(++sequence, id, stored);
    if (random.nextDouble() >= gapShare) {
      unpublished.add(new LateEvent(clock.nowMillis() + delayMillis, event));
    }
  }
}
