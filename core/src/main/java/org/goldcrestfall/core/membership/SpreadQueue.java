package org.goldcrestfall.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Chooses which changes the next message carries: those passed on least often first, within a
 * number of bytes, and each at most a multiple of log2(n) times.
 */
final class SpreadQueue {

  private static final int SPREAD_FACTOR = 3;

  private static final class Entry {
    private final String key;
    private final long order;
    private int times;

    Entry(String key, long order) {
      this.key = key;
      this.order = order;
    }
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private long lastOrder;

  /** Adds a change, or starts over if a newer change has the same key. */
  void add(String key) {
    entries.put(key, new Entry(key, ++lastOrder));
  }

  void remove(String key) {
    entries.remove(key);
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns how often a change is passed on among {@code members}. */
  static int spreadTimes(int members) {
    return SPREAD_FACTOR * (32 - Integer.numberOfLeadingZeros(Math.max(1, members)));
  }

  /** Returns the keys of the next message and counts them as passed on. */
  List<String> next(int maxBytes, ToIntFunction<String> bytes, int members) {
    if (entries.isEmpty()) {
      return List.of();
    }
    List<Entry> ordered = new ArrayList<>(entries.values());
    ordered.sort(
        Comparator.comparingInt((Entry e) -> e.times)
            .thenComparing(Comparator.comparingLong((Entry e) -> e.order).reversed()));
    List<String> chosen = new ArrayList<>();
    int left = maxBytes;
    int limit = spreadTimes(members);
    for (Entry e : ordered) {
      int size = bytes.applyAsInt(e.key);
      if (size > left) {
        continue;
      }
      left -= size;
      chosen.add(e.key);
      if (++e.times >= limit) {
        entries.remove(e.key);
      }
    }
    return chosen;
  }
}
