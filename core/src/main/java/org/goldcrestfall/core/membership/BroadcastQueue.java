package org.goldcrestfall.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Selects the changes that are piggybacked on the next message: those sent least often first, up to
 * a number of bytes. Each change is sent at most a multiple of log2(n) times for n members.
 */
final class BroadcastQueue {

  private static final int RETRANSMIT_FACTOR = 3;

  private static final class Entry {
    private final String key;
    private final long sequence;
    private int transmissions;

    Entry(String key, long sequence) {
      this.key = key;
      this.sequence = sequence;
    }
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private long lastSequence;

  /** Adds a change that has not been sent yet; it replaces an earlier change with the same key. */
  void add(String key) {
    entries.put(key, new Entry(key, ++lastSequence));
  }

  void remove(String key) {
    entries.remove(key);
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the maximum number of times a change is sent in a group of {@code members}. */
  static int maxTransmissions(int members) {
    return RETRANSMIT_FACTOR * (32 - Integer.numberOfLeadingZeros(Math.max(1, members)));
  }

  /**
   * Returns the keys of the changes for the next message and counts them as sent.
   *
   * @param maxBytes maximum encoded size of all returned changes
   * @param encodedBytes encoded size of the change with a key
   * @param members number of members that the changes have to reach
   */
  List<String> next(int maxBytes, ToIntFunction<String> encodedBytes, int members) {
    if (entries.isEmpty()) {
      return List.of();
    }
    List<Entry> ordered = new ArrayList<>(entries.values());
    ordered.sort(
        Comparator.comparingInt((Entry e) -> e.transmissions)
            .thenComparing(Comparator.comparingLong((Entry e) -> e.sequence).reversed()));
    List<String> chosen = new ArrayList<>();
    int remainingBytes = maxBytes;
    int transmissionLimit = maxTransmissions(members);
    for (Entry e : ordered) {
      int size = encodedBytes.applyAsInt(e.key);
      if (size > remainingBytes) {
        continue;
      }
      remainingBytes -= size;
      chosen.add(e.key);
      if (++e.transmissions >= transmissionLimit) {
        entries.remove(e.key);
      }
    }
    return chosen;
  }
}
