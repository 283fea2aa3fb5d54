package org.goldcrestfall.core.common;

/**
 * The project's only source of time: milliseconds that never run backwards within a process. The
 * zero point is arbitrary, so values from two processes are not comparable.
 */
@FunctionalInterface
public interface MillisClock {

  /** Returns the current time in milliseconds. */
  long nowMillis();

  /** Returns a clock that reads the monotonic clock of the machine. */
  static MillisClock system() {
    final long start = System.nanoTime();
    return () -> (System.nanoTime() - start) / 1_000_000L;
  }
}
