package org.goldcrestfall.core.admission;

import java.util.Collection;

/**
 * Decides which class receives the next free slot. A class below its reserved share comes first; it
 * may start even if other classes have borrowed its slots, and then waits at the engine, which
 * honours priorities. Spare capacity goes to the earliest deadline. Beyond its share a class may
 * not use the slots that a class of higher priority is about to use by its recent demand, because a
 * slot that a long patient request holds is not available to a quick one for many seconds.
 */
final class SlotRule {

  /**
   * Slots that are held back beyond the mean demand, in standard deviations of Poisson arrivals.
   */
  private static final double DEVIATIONS = 2;

  /**
   * Usable slots for which one request of a class below the highest priority may await its first
   * token. An engine prefills the long prompts of patient requests one after the other, in front of
   * the short prompts that arrive meanwhile.
   */
  private static final double SLOTS_PER_PREFILL = 8;

  private final Shares shares;
  private final double slots;

  SlotRule(Shares shares, double slots) {
    this.shares = shares;
    this.slots = Math.max(1, slots);
  }

  /** A class as the rule sees it: its earliest deadline, running requests and expected demand. */
  interface View {
    String name();

    int priority();

    int running();

    /** Returns the running requests that await their first token. */
    int prefilling();

    double demand();

    /** Returns the first waiting request, or null. */
    QueuedRequest first();
  }

  /** Returns the view that receives the next slot, or null if none may start. */
  <V extends View> V next(Collection<V> views) {
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
      if (!reserved && total > 0 && total + 1 > slots - heldBack(views, v)) {
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

  private <V extends View> double heldBack(Collection<V> views, V borrower) {
    double sum = 0;
    for (V v : views) {
      if (v.priority() > borrower.priority()) {
        double expected = v.demand() + DEVIATIONS * Math.sqrt(v.demand());
        sum += Math.max(0, expected - v.running());
      }
    }
    return sum;
  }
}
