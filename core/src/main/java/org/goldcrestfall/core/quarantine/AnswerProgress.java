package org.goldcrestfall.core.quarantine;

import java.util.Comparator;

/**
 * How far an answer that has begun was written.
 *
 * @param writtenMillis the time from its first to its last byte so far
 * @param events the number of complete events of a stream; 0 for any other answer
 */
public record AnswerProgress(long writtenMillis, long events) {

  /** The progress of an answer whose first byte has just arrived. */
  public static final AnswerProgress BEGUN = new AnswerProgress(0, 0);

  static final Comparator<AnswerProgress> SHORTEST_FIRST =
      Comparator.comparingLong(AnswerProgress::writtenMillis)
          .thenComparingLong(AnswerProgress::events);

  private static final double FACTOR = 1.25;

  /** A router with little processor time may read events that much later than others. */
  private static final long MARGIN_MILLIS = 250;

  private static final long MARGIN_EVENTS = 2;

  /**
   * Returns the progress from which on an answer has been written for clearly longer than this one.
   * It is longer in both measures, since an engine under load writes fewer events in the same time.
   */
  AnswerProgress clearlyLonger() {
    return new AnswerProgress(
        (long) (FACTOR * writtenMillis) + MARGIN_MILLIS,
        events == 0 ? 0 : (long) (FACTOR * events) + MARGIN_EVENTS);
  }

  /** Returns whether an answer has come as far as another one in both measures. */
  public boolean reaches(AnswerProgress other) {
    return writtenMillis >= other.writtenMillis && events >= other.events;
  }

  AnswerProgress max(AnswerProgress other) {
    return new AnswerProgress(
        Math.max(writtenMillis, other.writtenMillis), Math.max(events, other.events));
  }
}
