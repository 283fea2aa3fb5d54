package org.goldcrestfall.core.stream;

/** The result of applying a stream event. */
public enum StreamResult {
  /** The token is the next one of the answer and has to be forwarded to the caller. */
  PASS,
  /** The token is equal to the one already forwarded at its offset and has to be dropped. */
  SKIPPED,
  /** The answer is complete. */
  COMPLETE,
  /** Tokens are missing before this event. The attempt has failed. */
  GAP,
  /** The token differs from the one already forwarded at its offset. The attempt has failed. */
  DIVERGED,
  /** The stream ended before the end of the answer. The attempt has failed. */
  BROKEN,
  /** The event belongs to an attempt that has ended, and has to be dropped. */
  LATE,
  /** The event belongs to another request and has to be dropped. The attempt has failed. */
  FOREIGN;

  /**
   * Returns whether the attempt ended before the end of the answer, so that another one is needed.
   */
  public boolean attemptFailed() {
    return this == GAP || this == DIVERGED || this == BROKEN || this == FOREIGN;
  }
}
