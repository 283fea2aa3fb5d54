package org.goldcrestfall.standin.engine;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/**
 * Continuous batching: up to {@code slots} requests run together, and a request that ends makes
 * room for the waiting one with the highest priority, then the earliest arrival.
 */
final class BatchScheduler {

  /** Requests in a slot, requests that wait for one, and the number of slots. */
  record Load(int running, int waiting, int slots) {}

  /** One request; {@code admitted} completes when it gets a slot. */
  static final class SlotRequest {
    private final int priority;
    private final CompletableFuture<Void> admitted = new CompletableFuture<>();
    private long arrivalNumber;
    private boolean running;

    SlotRequest(int priority) {
      this.priority = priority;
    }

    CompletableFuture<Void> admitted() {
      return admitted;
    }
  }

  private final int slots;
  private final TreeSet<SlotRequest> waiting =
      new TreeSet<>(
          Comparator.<SlotRequest>comparingInt(ticket -> -ticket.priority)
              .thenComparingLong(ticket -> ticket.arrivalNumber));
  private int running;
  private long nextArrivalNumber;

  BatchScheduler(int slots) {
    this.slots = slots;
  }

  /** Gives a slot to the ticket now or when one becomes free. */
  void submit(SlotRequest ticket) {
    synchronized (this) {
      ticket.arrivalNumber = nextArrivalNumber++;
      if (running >= slots) {
        waiting.add(ticket);
        return;
      }
      running++;
      ticket.running = true;
    }
    ticket.admitted.complete(null);
  }

  /** Ends a ticket, whether it runs or waits. A second call has no effect. */
  void release(SlotRequest ticket) {
    SlotRequest next;
    synchronized (this) {
      if (!ticket.running) {
        waiting.remove(ticket);
        return;
      }
      ticket.running = false;
      next = waiting.pollFirst();
      if (next == null) {
        running--;
        return;
      }
      next.running = true;
    }
    next.admitted.complete(null);
  }

  synchronized Load load() {
    return new Load(running, waiting.size(), slots);
  }
}
