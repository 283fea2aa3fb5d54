package org.goldcrestfall.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Forecasts the start of every waiting request by simulating {@link SlotAllocator} with the
 * expected slot times of the running and waiting requests.
 */
final class StartForecast {

  /** A waiting request and its expected start. */
  record Start(QueuedRequest request, long startMillis) {

    boolean late() {
      return startMillis > request.latestStartMillis();
    }
  }

  /** A running request; {@code endMillis} is its expected end. */
  record Running(String patienceClass, long endMillis) {}

  private static final class SimulatedClass implements SlotAllocator.ClassView {
    final ClassQueue queue;
    final double demand;
    final Iterator<QueuedRequest> remaining;
    QueuedRequest first;
    int running;

    SimulatedClass(ClassQueue queue, long nowMillis) {
      this.queue = queue;
      demand = queue.demand(nowMillis);
      remaining = queue.waiting.iterator();
      running = queue.running;
      advance();
    }

    void advance() {
      first = remaining.hasNext() ? remaining.next() : null;
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

    /** Returns 0: prefill is short compared with the slot time, so the forecast ignores it. */
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

  private record ExpectedEnd(long endMillis, SimulatedClass owner) {}

  private StartForecast() {}

  /** Returns the expected starts of all waiting requests in order of time. */
  static List<Start> of(
      Collection<ClassQueue> queues,
      Collection<Running> running,
      ReservedShares shares,
      double slots,
      long nowMillis) {
    List<SimulatedClass> classes = new ArrayList<>();
    int waiting = 0;
    for (ClassQueue q : queues) {
      classes.add(new SimulatedClass(q, nowMillis));
      waiting += q.waiting.size();
    }
    PriorityQueue<ExpectedEnd> ends =
        new PriorityQueue<>((a, b) -> Long.compare(a.endMillis, b.endMillis));
    for (Running r : running) {
      for (SimulatedClass c : classes) {
        if (c.name().equals(r.patienceClass())) {
          ends.add(new ExpectedEnd(r.endMillis(), c));
        }
      }
    }
    SlotAllocator allocator = new SlotAllocator(shares, slots);
    List<Start> starts = new ArrayList<>(waiting);
    long simulatedMillis = nowMillis;
    while (starts.size() < waiting) {
      SimulatedClass c = allocator.next(classes);
      if (c == null) {
        ExpectedEnd end = ends.remove();
        simulatedMillis = Math.max(simulatedMillis, end.endMillis);
        end.owner.running--;
        continue;
      }
      starts.add(new Start(c.first, simulatedMillis));
      ends.add(new ExpectedEnd(simulatedMillis + c.first.holdMillis(), c));
      c.running++;
      c.advance();
    }
    return starts;
  }
}
