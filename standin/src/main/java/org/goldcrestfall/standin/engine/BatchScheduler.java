package org.goldcrestfall.standin.engine;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/**
 * Schedules requests by continuous batching: up to {@code slots} requests run together. When one
 * ends, the waiting request with the highest priority takes its slot; the earliest arrival wins
 * ties.
 */
final class BatchScheduler {

  /** The number of requests in a slot, of requests waiting for one, and of slots. */
  record Load(int running, int waiting, int slots) {}

  /** The request for one slot; {@code admitted} completes when the slot is granted. */
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
          Comparator.<SlotRequest>comparingInt(slotRequest -> -slotRequest.priority)
              .thenComparingLong(slotRequest -> slotRequest.arrivalNumber));
  private int running;
  private long nextArrivalNumber;

  BatchScheduler(int slots) {
    this.slots = slots;
  }

  /** Grants a slot to the request, immediately or as soon as one becomes free. */
  void submit(SlotRequest slotRequest) {
    synchronized (this) {
      slotRequest.arrivalNumber = nextArrivalNumber++;
      if (running >= slots) {
        waiting.add(slotRequest);
        return;
      }
      running++;
      slotRequest.running = true;
    }
    slotRequest.admitted.complete(null);
  }

  /** Frees the slot of a running request or removes a waiting one. A second call has no effect. */
  void release(SlotRequest slotRequest) {
    SlotRequest next;
    synchronized (this) {
      if (!slotRequest.running) {
        waiting.remove(slotRequest);
        return;
      }
      slotRequest.running = false;
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
