package org.goldcrestfall.core.stream;

/** The state of an answer in an {@link AnswerStore}. */
public enum AnswerState {
  /** The answer is running; further tokens may arrive. */
  RUNNING,
  /** The answer is complete. */
  FINISHED,
  /** The answer is running but its text is no longer kept, so a retry cannot join it. */
  RUNNING_NOT_KEPT
}
