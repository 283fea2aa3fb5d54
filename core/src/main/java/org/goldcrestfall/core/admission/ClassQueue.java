package org.goldcrestfall.core.admission;

import java.util.Comparator;
import java.util.TreeSet;

/** The waiting and running requests of one patience class. */
final class ClassQueue {

  /** Time constant of the exponential average of the offered load. */
  private static final double DEMAND_TIME_CONSTANT_MILLIS = 20_000;

  private static final Comparator<QueuedRequest> BY_LATEST_START =
      Comparator.comparingLong(QueuedRequest::latestStartMillis).thenComparing(QueuedRequest::id);

  final String name;
  final TreeSet<QueuedRequest> waiting = new TreeSet<>(BY_LATEST_START);
  int running;
  int prefilling;
  int priority;
  private double demand;
  private long demandUpdatedAtMillis;

  ClassQueue(String name) {
    this.name = name;
  }

  void onOffer(QueuedRequest request, long nowMillis) {
    priority = request.priority();
    demand = demand(nowMillis) + request.holdMillis() / DEMAND_TIME_CONSTANT_MILLIS;
    demandUpdatedAtMillis = nowMillis;
  }

  /** Returns the mean number of slots that the recently offered requests of the class occupy. */
  double demand(long nowMillis) {
    return demand * Math.exp((demandUpdatedAtMillis - nowMillis) / DEMAND_TIME_CONSTANT_MILLIS);
  }
}
