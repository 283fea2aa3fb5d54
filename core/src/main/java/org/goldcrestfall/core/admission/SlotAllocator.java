package org.goldcrestfall.core.admission;

import java.util.Collection;

/**
 * Decides which patience class receives the next free slot. A class below its reserved share comes
 * first. It may start a request even if other classes use its slots; the request then waits at the
 * engine, which honours priorities. Spare capacity goes to the earliest deadline. Beyond its
 * reserved share a class must leave free the slots that classes of higher priority are expected to
 * need soon, judging by their recent demand. Otherwise patient requests, which hold a slot for many
 * seconds, would keep quick ones waiting.
 */
final class SlotAllocator {

  /**
   * Safety margin on the mean demand of a class when its slots are kept free, in standard
   * deviations of Poisson arrivals.
   */
  private static final double DEMAND_MARGIN_DEVIATIONS = 2;

  /**
   * Number of usable slots per request that may await its first token, in each class below the
   * highest priority. An engine prefills prompts one after the other, so the long prompts of
   * patient requests delay the short prompts that arrive behind them.
   */
  private static final double SLOTS_PER_PREFILL = 8;

  private final ReservedShares shares;
  private final double slots;

  SlotAllocator(ReservedShares shares, double slots) {
    this.shares = shares;
    this.slots = Math.max(1, slots);
  }

  /** The state of a class on which the allocation depends. */
  interface ClassView {
    String name();

    int priority();

    /** Returns the number of requests that hold a slot. */
    int running();

    /** Returns the number of running requests that await their first token. */
    int prefilling();

    /** Returns the mean number of slots that the recent requests of the class occupy. */
    double demand();

    /** Returns the waiting request that has to start first, or null if none is waiting. */
    QueuedRequest first();
  }

  /** Returns the class that receives the next slot, or null if no request may start. */
  <V extends ClassView> V next(Collection<V> views) {
    int total = 0;
    int highest = Integer.MIN_VALUE;
    for (V v : views) {
      total += v.running();
      highest = Math.max(highest, v.priority());
    }
    V best = null;
    boolean bestReserved = false;
    for (V v : views) {
      if (v.first() == null || (v.priority() < highest && v.prefilling() >= maxPrefilling())) {
        continue;
      }
      boolean reserved = v.running() < shares.reserved(v.name(), slots);
      if (!reserved && total > 0 && total + 1 > slots - withheldSlots(views, v)) {
        continue;
      }
      if (best == null
          || (reserved && !bestReserved)
          || (reserved == bestReserved
              && v.first().latestStartMillis() < best.first().latestStartMillis())) {
        best = v;
        bestReserved = reserved;
      }
    }
    return best;
  }

  private double maxPrefilling() {
    return Math.max(1, Math.floor(slots / SLOTS_PER_PREFILL));
  }

  /** Returns the slots that must stay free for classes of higher priority than {@code borrower}. */
  private <V extends ClassView> double withheldSlots(Collection<V> views, V borrower) {
    double sum = 0;
    for (V v : views) {
      if (v.priority() > borrower.priority()) {
        double expected = v.demand() + DEMAND_MARGIN_DEVIATIONS * Math.sqrt(v.demand());
        sum += Math.max(0, expected - v.running());
      }
    }
    return sum;
  }
}
