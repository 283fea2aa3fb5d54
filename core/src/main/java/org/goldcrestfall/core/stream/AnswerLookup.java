package org.goldcrestfall.core.stream;

/** The result of looking up a request id in an {@link AnswerStore}. */
public enum AnswerLookup {
  /**
   * The request id was unknown. The answer is now registered as running, and the caller of the
   * store has to generate it.
   */
  STARTED,
  /** The answer is running. The retry can join it at any offset. */
  JOIN,
  /** The answer is finished. The retry can replay it from any offset. */
  REPLAY,
  /** The answer is running but its text is not kept. The retry has to wait for its end. */
  BUSY,
  /**
   * The request id was used with another body. The retry has to be refused with REQUEST_ID_REUSED.
   */
  REUSED,
  /** The store is full of running answers. The request has to run without a record. */
  FULL
}
