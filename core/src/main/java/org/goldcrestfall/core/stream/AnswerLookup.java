package org.goldcrestfall.core.stream;

/** What a retry finds under its request id. */
public enum AnswerLookup {
  /** Nothing: the answer was registered as running, and the caller of the store generates it. */
  STARTED,
  /** A running answer: join it from any offset. */
  JOIN,
  /** A finished answer: replay it from any offset. */
  REPLAY,
  /** A running answer whose text is not kept: the retry must wait for its end. */
  BUSY,
  /** A request with another body: refuse with REQUEST_ID_REUSED. */
  REUSED,
  /** The store is full of running answers: run the request without a record. */
  FULL
}
