package org.goldcrestfall.standin.bench;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.goldcrestfall.core.common.ErrorKind;

/**
 * Results of one simulated trace: time to first token, refusals and missed deadlines. Unless stated
 * otherwise, only requests that arrive after the warm-up are measured.
 */
final class Measurements {

  private final long warmUpMillis;
  final Map<BenchPatienceClass, Histogram> firstTokenMillis =
      new EnumMap<>(BenchPatienceClass.class);
  final Map<BenchPatienceClass, Histogram> queueingMillis = new EnumMap<>(BenchPatienceClass.class);
  final Map<BenchPatienceClass, Integer> offered = new EnumMap<>(BenchPatienceClass.class);
  final Map<BenchPatienceClass, Integer> missedDeadlines = new EnumMap<>(BenchPatienceClass.class);
  final Map<ErrorKind, Integer> refusalsByKind = new EnumMap<>(ErrorKind.class);
  final Set<String> refusedIds = new HashSet<>();

  /** Number of first tokens after the warm-up, also of requests that arrived before. */
  long firstTokens;

  /** Prompt tokens of all admitted requests, including the warm-up. */
  long promptTokens;

  /** The part of {@link #promptTokens} that engines had cached. */
  long cachedTokens;

  Measurements(long warmUpMillis) {
    this.warmUpMillis = warmUpMillis;
    for (BenchPatienceClass c : BenchPatienceClass.values()) {
      firstTokenMillis.put(c, new Histogram(600_000L, 3));
      queueingMillis.put(c, new Histogram(600_000L, 3));
      offered.put(c, 0);
      missedDeadlines.put(c, 0);
    }
  }

  /** Returns whether a request arrives after the warm-up. */
  boolean isMeasured(BenchRequest request) {
    return request.arrivalMillis() >= warmUpMillis;
  }

  void onArrival(BenchRequest request) {
    if (isMeasured(request)) {
      offered.merge(request.patienceClass(), 1, Integer::sum);
    }
  }

  void onDispatch(BenchRequest request, long nowMillis) {
    if (isMeasured(request)) {
      record(queueingMillis.get(request.patienceClass()), nowMillis - request.arrivalMillis());
    }
  }

  void onFirstToken(BenchRequest request, long nowMillis) {
    firstTokens += nowMillis >= warmUpMillis ? 1 : 0;
    if (isMeasured(request)) {
      record(firstTokenMillis.get(request.patienceClass()), nowMillis - request.arrivalMillis());
      if (nowMillis > request.deadlineMillis()) {
        missedDeadlines.merge(request.patienceClass(), 1, Integer::sum);
      }
    }
  }

  void onRefusal(BenchRequest request, ErrorKind kind) {
    if (isMeasured(request)) {
      refusedIds.add(request.id());
      refusalsByKind.merge(kind, 1, Integer::sum);
    }
  }

  private static void record(Histogram histogram, long millis) {
    histogram.recordValue(Math.min(millis, 600_000L));
  }
}
