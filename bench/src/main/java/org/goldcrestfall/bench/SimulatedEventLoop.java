package org.goldcrestfall.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions on a simulated clock, in the order of their times. Actions with equal times run in
 * the order in which they were scheduled.
 */
final class SimulatedEventLoop {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private long nowMillis;
  private long lastSequence;

  private record Event(long atMillis, long sequence, Runnable action) {}

  long nowMillis() {
    return nowMillis;
  }

  /** Schedules an action; a time in the past counts as now. */
  void scheduleAt(long atMillis, Runnable action) {
    lastSequence++;
    events.add(new Event(Math.max(nowMillis, atMillis), lastSequence, action));
  }

  void scheduleAfter(long delayMillis, Runnable action) {
    scheduleAt(nowMillis + delayMillis, action);
  }

  /** Runs the actions that are due up to and including {@code untilMillis}. */
  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event e = events.poll();
      nowMillis = e.atMillis();
      e.action().run();
    }
  }
}
