package org.goldcrestfall.core.stream;

/** What became of a stream event. */
public enum StreamResult {
  /** The token is next in order: pass it on to the caller. */
  PASS,
  /** The token was passed on before and is equal: drop it. */
  SKIPPED,
  /** The answer is whole. */
  COMPLETE,
  /** Tokens are missing before this event: the attempt is over. */
  GAP,
  /** The token differs from the one that was passed on at its offset: the attempt is over. */
  DIVERGED,
  /** The engine broke off: the attempt is over. */
  BROKEN,
  /** The event belongs to an attempt that is over: drop it. */
  LATE,
  /** The event belongs to another request: drop it, and the attempt is over. */
  FOREIGN;

  /** Returns whether the attempt ended without the end of the answer, so that a new one is due. */
  public boolean attemptFailed() {
    return this == GAP || this == DIVERGED || this == BROKEN || this == FOREIGN;
  }
}
