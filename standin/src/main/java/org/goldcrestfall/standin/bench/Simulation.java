package org.goldcrestfall.standin.bench;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.goldcrestfall.core.common.ManualClock;

/**
 * A discrete-event simulation: runs events in order of time on a manual clock. Events of equal time
 * run in the order of insertion.
 */
final class Simulation {

  private record Event(long atMillis, long insertionNumber, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::insertionNumber));
  private final ManualClock clock = new ManualClock(0);
  private long nextInsertionNumber;

  long now() {
    return clock.nowMillis();
  }

  /** Schedules an action at a time; a time in the past means now. */
  void scheduleAt(long atMillis, Runnable action) {
    events.add(new Event(Math.max(atMillis, now()), nextInsertionNumber++, action));
  }

  void scheduleAfter(long delayMillis, Runnable action) {
    scheduleAt(now() + delayMillis, action);
  }

  /** Runs all events up to and including {@code untilMillis}. */
  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis <= untilMillis) {
      Event e = events.remove();
      clock.advance(e.atMillis - now());
      e.action.run();
    }
  }
}
