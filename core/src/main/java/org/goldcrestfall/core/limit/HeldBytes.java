package org.goldcrestfall.core.limit;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The bytes that holders keep in memory, with a limit on their sum. When the sum passes it, the
 * largest holder has to let go, so that those that hold little are not affected. Not thread-safe.
 */
public final class HeldBytes<H> {

  private final long limit;
  private final Map<H, Long> bytesByHolder = new LinkedHashMap<>();
  private long total;

  /** Creates the record of holders that together may keep {@code limit} bytes. */
  public HeldBytes(long limit) {
    this.limit = limit;
  }

  /** Sets the number of bytes that a holder keeps. */
  public void set(H holder, long bytes) {
    Long before = bytes == 0 ? bytesByHolder.remove(holder) : bytesByHolder.put(holder, bytes);
    total += bytes - (before == null ? 0 : before);
  }

  /** Returns the sum of all holders. */
  public long total() {
    return total;
  }

  /** Returns whether the holders keep more than the limit. */
  public boolean isExceeded() {
    return total > limit;
  }

  /** Returns the holder of the most bytes, the first one of several, or nothing. */
  public Optional<H> largest() {
    return bytesByHolder.entrySet().stream()
        .max(Comparator.comparingLong((Map.Entry<H, Long> e) -> e.getValue()))
        .map(Map.Entry::getKey);
  }
}
