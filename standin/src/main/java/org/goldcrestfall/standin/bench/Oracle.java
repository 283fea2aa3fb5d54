package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Schedules a trace with full knowledge of it on one pool of slots, and returns what it serves. The
 * slot times are in proportion to the work of each request and scaled so that the pool has exactly
 * the measured capacity. The dear class is placed first, the patient one into the gaps that it
 * leaves; prefill of other requests delays nothing, so the oracle serves rather too much.
 */
final class Oracle {

  private static final double STEP_MILLIS = 20;

  private final List<TreeMap<Long, Long>> slots = new ArrayList<>();
  private final double scale;

  private Oracle(int slotCount, double scale) {
    for (int i = 0; i < slotCount; i++) {
      slots.add(new TreeMap<>());
    }
    this.scale = scale;
  }

  /** Returns the ids of the requests that the oracle serves by their deadline. */
  static Set<String> served(List<BenchRequest> trace, int slotCount, double capacity) {
    double mean = trace.stream().mapToDouble(Oracle::work).average().orElse(1);
    Oracle oracle = new Oracle(slotCount, slotCount * 1_000.0 / capacity / mean);
    Set<String> served = new HashSet<>();
    trace.stream()
        .sorted(
            Comparator.comparingLong((BenchRequest r) -> -r.patience().pricePerMille)
                .thenComparingLong(BenchRequest::deadlineMillis))
        .filter(oracle::place)
        .forEach(r -> served.add(r.id()));
    return served;
  }

  private static double work(BenchRequest request) {
    return request.outputTokens() * STEP_MILLIS
        + request.promptTokens() * EngineModel.PREFILL_MILLIS_PER_TOKEN / 2;
  }

  /** Takes the earliest gap; among equal ones that of the first slot, which keeps gaps long. */
  private boolean place(BenchRequest request) {
    long hold = Math.max(1, (long) (work(request) * scale));
    long earliest = Long.MAX_VALUE;
    TreeMap<Long, Long> best = null;
    for (TreeMap<Long, Long> slot : slots) {
      long start = gap(slot, request.arrivalMillis(), hold);
      if (start < earliest) {
        earliest = start;
        best = slot;
      }
      if (earliest == request.arrivalMillis()) {
        break;
      }
    }
    if (earliest > request.deadlineMillis()) {
      return false;
    }
    best.put(earliest, earliest + hold);
    return true;
  }

  private static long gap(TreeMap<Long, Long> slot, long from, long hold) {
    Map.Entry<Long, Long> before = slot.floorEntry(from);
    long start = before == null ? from : Math.max(from, before.getValue());
    for (Map.Entry<Long, Long> e : slot.tailMap(from, false).entrySet()) {
      if (e.getKey() >= start + hold) {
        return start;
      }
      start = Math.max(start, e.getValue());
    }
    return start;
  }
}
