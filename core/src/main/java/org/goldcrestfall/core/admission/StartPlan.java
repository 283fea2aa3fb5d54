package org.goldcrestfall.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Expected start of every waiting request, found by running {@link SlotRule} forward with the
 * expected slot times of the running and waiting requests.
 */
final class StartPlan {

  /** A waiting request and its expected start. */
  record Start(QueuedRequest request, long startMillis) {

    boolean late() {
      return startMillis > request.latestStartMillis();
    }
  }

  /** A running request; {@code endMillis} is its expected end. */
  record Running(String patienceClass, long endMillis) {}

  private static final class PlannedClass implements SlotRule.View {
    final ClassQueue queue;
    final double demand;
    final Iterator<QueuedRequest> rest;
    QueuedRequest first;
    int running;

    PlannedClass(ClassQueue queue, long nowMillis) {
      this.queue = queue;
      demand = queue.demand(nowMillis);
      rest = queue.waiting.iterator();
      running = queue.running;
      advance();
    }

    void advance() {
      first = rest.hasNext() ? rest.next() : null;
    }

    @Override
    public String name() {
      return queue.name;
    }

    @Override
    public int priority() {
      return queue.priority;
    }

    @Override
    public int running() {
      return running;
    }

    /** Prefill is short against the slot time, so the plan leaves it out. */
    @Override
    public int prefilling() {
      return 0;
    }

    @Override
    public double demand() {
      return demand;
    }

    @Override
    public QueuedRequest first() {
      return first;
    }
  }

  private record End(long atMillis, PlannedClass planned) {}

  private StartPlan() {}

  /** Returns the expected starts in order of time. */
  static List<Start> of(
      Collection<ClassQueue> queues,
      Collection<Running> running,
      Shares shares,
      double slots,
      long nowMillis) {
    List<PlannedClass> classes = new ArrayList<>();
    int waiting = 0;
    for (ClassQueue q : queues) {
      classes.add(new PlannedClass(q, nowMillis));
      waiting += q.waiting.size();
    }
    PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
    for (Running r : running) {
      for (PlannedClass c : classes) {
        if (c.name().equals(r.patienceClass())) {
          ends.add(new End(r.endMillis(), c));
        }
      }
    }
    SlotRule rule = new SlotRule(shares, slots);
    List<Start> starts = new ArrayList<>(waiting);
    long now = nowMillis;
    while (starts.size() < waiting) {
      PlannedClass c = rule.next(classes);
      if (c == null) {
        End end = ends.remove();
        now = Math.max(now, end.atMillis);
        end.planned.running--;
        continue;
      }
      starts.add(new Start(c.first, now));
      ends.add(new End(now + c.first.holdMillis(), c));
      c.running++;
      c.advance();
    }
    return starts;
  }
}
