package org.goldcrestfall.wire;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff between connection attempts, with jitter: each delay is chosen at random
 * between half of its exponential limit and the limit.
 */
final class Backoff {

  static final long MIN_MILLIS = 50;
  static final long MAX_MILLIS = 500;

  private final RandomGenerator random;
  private int failures;

  Backoff(RandomGenerator random) {
    this.random = random;
  }

  void reset() {
    failures = 0;
  }

  /** Counts one more failure and returns the delay before the next attempt. */
  long nextMillis() {
    long maxDelay = Math.min(MAX_MILLIS, MIN_MILLIS << Math.min(failures, 10));
    failures++;
    return maxDelay / 2 + random.nextLong(maxDelay / 2 + 1);
  }
}
