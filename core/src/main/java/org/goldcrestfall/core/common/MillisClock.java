package org.goldcrestfall.core.common;

/**
 * The project's only source of time, in milliseconds. Decisions take the monotonic clock, whose
 * zero point is arbitrary, so its values from two processes are not comparable. The UTC clock can
 * jump and serves only the audit trail and billing records.
 */
@FunctionalInterface
public interface MillisClock {

  /** Returns the current time in milliseconds. */
  long nowMillis();

  /** Returns a clock that reads the monotonic clock of the machine. */
  static MillisClock monotonic() {
    final long start = System.nanoTime();
    return () -> (System.nanoTime() - start) / 1_000_000L;
  }

  /**
   * Returns the steady clock of the host itself. Its values can be compared between processes that
   * run on the host one after another, until the host starts anew.
   */
  static MillisClock hostSteady() {
    return () -> System.nanoTime() / 1_000_000L;
  }

  /** Returns a clock that counts from 1970-01-01 UTC. */
  static MillisClock utc() {
    return System::currentTimeMillis;
  }
}
