package org.goldcrestfall.core.common;

/**
 * The project's only source of time, in milliseconds. Decisions use the monotonic clock, whose
 * origin is arbitrary, so its values from two processes cannot be compared. The UTC clock can jump
 * and is used only for the audit trail and billing records.
 */
@FunctionalInterface
public interface MillisClock {

  /** Returns the current time in milliseconds. */
  long nowMillis();

  /** Returns a monotonic clock that starts at 0 when it is created. */
  static MillisClock monotonic() {
    final long start = System.nanoTime();
    return () -> (System.nanoTime() - start) / 1_000_000L;
  }

  /**
   * Returns the monotonic clock of the host. Its values can be compared between successive
   * processes on the same host until the host reboots.
   */
  static MillisClock hostMonotonic() {
    return () -> System.nanoTime() / 1_000_000L;
  }

  /** Returns a clock that counts milliseconds since 1970-01-01 UTC. */
  static MillisClock utc() {
    return System::currentTimeMillis;
  }
}
