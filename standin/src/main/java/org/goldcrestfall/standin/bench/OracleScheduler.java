package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * An offline scheduler that knows the whole trace and all output lengths. It serves requests from a
 * single pool of slots. The time that a request holds a slot is proportional to its work, scaled so
 * that the pool has exactly the given capacity. The class with the higher price is scheduled first,
 * and the other class fills the gaps. Prefill does not delay other requests, so the oracle tends to
 * serve more than real engines could.
 */
final class OracleScheduler {

  private static final double DECODE_MILLIS_PER_TOKEN = 20;

  /** For each slot, the end time of each reservation by its start time, in milliseconds. */
  private final List<TreeMap<Long, Long>> slotReservations = new ArrayList<>();

  private final double durationScale;

  private OracleScheduler(int slotCount, double durationScale) {
    for (int i = 0; i < slotCount; i++) {
      slotReservations.add(new TreeMap<>());
    }
    this.durationScale = durationScale;
  }

  /**
   * Returns the ids of the requests that the oracle starts by their deadline.
   *
   * @param capacityPerSecond capacity of the pool in requests per second
   */
  static Set<String> servedIds(List<BenchRequest> trace, int slotCount, double capacityPerSecond) {
    double meanMillis =
        trace.stream().mapToDouble(OracleScheduler::unscaledMillis).average().orElse(1);
    OracleScheduler oracle =
        new OracleScheduler(slotCount, slotCount * 1_000.0 / capacityPerSecond / meanMillis);
    Set<String> ids = new HashSet<>();
    trace.stream()
        .sorted(
            Comparator.comparingLong((BenchRequest r) -> -r.patienceClass().pricePerMille)
                .thenComparingLong(BenchRequest::deadlineMillis))
        .filter(oracle::schedule)
        .forEach(r -> ids.add(r.id()));
    return ids;
  }

  /** Returns the estimated time in a slot before scaling, with half of the prefill time. */
  private static double unscaledMillis(BenchRequest request) {
    return request.outputTokens() * DECODE_MILLIS_PER_TOKEN
        + request.promptTokens() * EngineModel.PREFILL_MILLIS_PER_TOKEN / 2;
  }

  /**
   * Reserves the earliest sufficient gap of any slot, or returns false if it starts after the
   * deadline. Among equal start times the first slot is used, which leaves long gaps in the others.
   */
  private boolean schedule(BenchRequest request) {
    long durationMillis = Math.max(1, (long) (unscaledMillis(request) * durationScale));
    long earliest = Long.MAX_VALUE;
    TreeMap<Long, Long> bestSlot = null;
    for (TreeMap<Long, Long> slot : slotReservations) {
      long start = earliestStart(slot, request.arrivalMillis(), durationMillis);
      if (start < earliest) {
        earliest = start;
        bestSlot = slot;
      }
      if (earliest == request.arrivalMillis()) {
        break;
      }
    }
    if (earliest > request.deadlineMillis()) {
      return false;
    }
    bestSlot.put(earliest, earliest + durationMillis);
    return true;
  }

  /** Returns the earliest start at or after {@code from} of a gap of {@code durationMillis}. */
  private static long earliestStart(TreeMap<Long, Long> slot, long from, long durationMillis) {
    Map.Entry<Long, Long> before = slot.floorEntry(from);
    long start = before == null ? from : Math.max(from, before.getValue());
    for (Map.Entry<Long, Long> e : slot.tailMap(from, false).entrySet()) {
      if (e.getKey() >= start + durationMillis) {
        return start;
      }
      start = Math.max(start, e.getValue());
    }
    return start;
  }
}
