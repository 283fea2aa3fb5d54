package org.goldcrestfall.core.retry;

import java.util.ArrayDeque;

/** Counts events over a sliding window in tenths of the window, so memory is bounded. */
final class WindowCounter {

  private static final int BUCKETS = 10;

  private record Bucket(long number, int count) {}

  private final long bucketMillis;
  private final ArrayDeque<Bucket> buckets = new ArrayDeque<>();
  private int sum;

  WindowCounter(long windowMillis) {
    bucketMillis = Math.max(1, windowMillis / BUCKETS);
  }

  void add(long nowMillis) {
    expire(nowMillis);
    long number = Math.floorDiv(nowMillis, bucketMillis);
    Bucket last = buckets.peekLast();
    if (last != null && last.number == number) {
      buckets.removeLast();
      buckets.addLast(new Bucket(number, last.count + 1));
    } else {
      buckets.addLast(new Bucket(number, 1));
    }
    sum++;
  }

  int sum(long nowMillis) {
    expire(nowMillis);
    return sum;
  }

  void clear() {
    buckets.clear();
    sum = 0;
  }

  private void expire(long nowMillis) {
    long oldest = Math.floorDiv(nowMillis, bucketMillis) - BUCKETS;
    while (!buckets.isEmpty() && buckets.peekFirst().number <= oldest) {
      sum -= buckets.removeFirst().count;
    }
  }
}
