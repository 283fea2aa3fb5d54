package org.goldcrestfall.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their simulated times; equal times in the order of scheduling. */
final class EventLoop {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private long now;
  private long number;

  private record Event(long atMillis, long number, Runnable action) {}

  long now() {
    return now;
  }

  void at(long atMillis, Runnable action) {
    number++;
    events.add(new Event(Math.max(now, atMillis), number, action));
  }

  void after(long delayMillis, Runnable action) {
    at(now + delayMillis, action);
  }

  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event e = events.poll();
      now = e.atMillis();
      e.action().run();
    }
  }
}
