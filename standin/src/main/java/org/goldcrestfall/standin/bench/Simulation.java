package org.goldcrestfall.standin.bench;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.goldcrestfall.core.common.ManualClock;

/** Runs events in order of time on a manual clock; equal times keep the order of insertion. */
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

  void scheduleAt(long millis, Runnable action) {
    events.add(new Event(Math.max(millis, now()), nextInsertionNumber++, action));
  }

  void scheduleAfter(long millis, Runnable action) {
    scheduleAt(now() + millis, action);
  }

  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis <= untilMillis) {
      Event e = events.remove();
      clock.advance(e.atMillis - now());
      e.action.run();
    }
  }
}
