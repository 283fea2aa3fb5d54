package org.goldcrestfall.wire;

import java.util.random.RandomGenerator;

/** Exponential delay between connection attempts, with jitter of half the delay. */
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

  /** Returns the delay after one more failure. */
  long nextMillis() {
    long ceiling = Math.min(MAX_MILLIS, MIN_MILLIS << Math.min(failures, 10));
    failures++;
    return ceiling / 2 + random.nextLong(ceiling / 2 + 1);
  }
}
