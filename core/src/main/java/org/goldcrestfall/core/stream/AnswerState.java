package org.goldcrestfall.core.stream;

/** State of an answer in an {@link AnswerStore}. */
public enum AnswerState {
  /** Tokens may still come. */
  RUNNING,
  /** The answer is whole. */
  FINISHED,
  /** The answer is running but its text is no longer kept, so that a retry cannot join it. */
  RUNNING_NOT_KEPT
}
