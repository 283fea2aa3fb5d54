package org.goldcrestfall.core.retry;

import java.util.ArrayDeque;

/**
 * Counts events over a sliding window. Events are grouped into buckets of a tenth of the window, so
 * memory use does not depend on the event rate; an event is dropped up to one bucket early.
 */
final class SlidingWindowCounter {

  private static final int BUCKET_COUNT = 10;

  private record Bucket(long index, int count) {}

  private final long bucketMillis;
  private final ArrayDeque<Bucket> buckets = new ArrayDeque<>();
  private int sum;

  SlidingWindowCounter(long windowMillis) {
    bucketMillis = Math.max(1, windowMillis / BUCKET_COUNT);
  }

  void add(long nowMillis) {
    expire(nowMillis);
    long index = Math.floorDiv(nowMillis, bucketMillis);
    Bucket last = buckets.peekLast();
    if (last != null && last.index == index) {
      buckets.removeLast();
      buckets.addLast(new Bucket(index, last.count + 1));
    } else {
      buckets.addLast(new Bucket(index, 1));
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
    long newestExpired = Math.floorDiv(nowMillis, bucketMillis) - BUCKET_COUNT;
    while (!buckets.isEmpty() && buckets.peekFirst().index <= newestExpired) {
      sum -= buckets.removeFirst().count;
    }
  }
}
