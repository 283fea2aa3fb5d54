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
final class OracleScheduler {

  private static final double DECODE_MILLIS_PER_TOKEN = 20;

  private final List<TreeMap<Long, Long>> slotReservations = new ArrayList<>();
  private final double durationScale;

  private OracleScheduler(int slotCount, double scale) {
    for (int i = 0; i < slotCount; i++) {
      slotReservations.add(new TreeMap<>());
    }
    this.durationScale = scale;
  }

  /** Returns the ids of the requests that the oracle serves by their deadline. */
  static Set<String> servedIds(List<BenchRequest> trace, int slotCount, double capacity) {
    double mean = trace.stream().mapToDouble(OracleScheduler::unscaledMillis).average().orElse(1);
    OracleScheduler oracle = new OracleScheduler(slotCount, slotCount * 1_000.0 / capacity / mean);
    Set<String> served = new HashSet<>();
    trace.stream()
        .sorted(
            Comparator.comparingLong((BenchRequest r) -> -r.patienceClass().pricePerMille)
                .thenComparingLong(BenchRequest::deadlineMillis))
        .filter(oracle::schedule)
        .forEach(r -> served.add(r.id()));
    return served;
  }

  private static double unscaledMillis(BenchRequest request) {
    return request.outputTokens() * DECODE_MILLIS_PER_TOKEN
        + request.promptTokens() * EngineModel.PREFILL_MILLIS_PER_TOKEN / 2;
  }

  /** Takes the earliest gap; among equal ones that of the first slot, which keeps gaps long. */
  private boolean schedule(BenchRequest request) {
    long hold = Math.max(1, (long) (unscaledMillis(request) * durationScale));
    long earliest = Long.MAX_VALUE;
    TreeMap<Long, Long> best = null;
    for (TreeMap<Long, Long> slot : slotReservations) {
      long start = earliestStart(slot, request.arrivalMillis(), hold);
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

  private static long earliestStart(TreeMap<Long, Long> slot, long from, long hold) {
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
