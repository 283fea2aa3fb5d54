package org.goldcrestfall.standin.bench;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.goldcrestfall.core.common.ErrorKind;

/** Time to first token, refusals and missed deadlines of one run, after the warm-up. */
final class Measurements {

  private final long warmUpMillis;
  final Map<BenchClass, Histogram> firstToken = new EnumMap<>(BenchClass.class);
  final Map<BenchClass, Histogram> queueing = new EnumMap<>(BenchClass.class);
  final Map<BenchClass, Integer> offered = new EnumMap<>(BenchClass.class);
  final Map<BenchClass, Integer> late = new EnumMap<>(BenchClass.class);
  final Map<ErrorKind, Integer> kinds = new EnumMap<>(ErrorKind.class);
  final Set<String> refused = new HashSet<>();
  long firstTokens;
  long promptTokens;
  long cachedTokens;

  Measurements(long warmUpMillis) {
    this.warmUpMillis = warmUpMillis;
    for (BenchClass c : BenchClass.values()) {
      firstToken.put(c, new Histogram(600_000L, 3));
      queueing.put(c, new Histogram(600_000L, 3));
      offered.put(c, 0);
      late.put(c, 0);
    }
  }

  boolean counts(BenchRequest request) {
    return request.arrivalMillis() >= warmUpMillis;
  }

  void onArrival(BenchRequest request) {
    if (counts(request)) {
      offered.merge(request.patience(), 1, Integer::sum);
    }
  }

  void onDispatch(BenchRequest request, long nowMillis) {
    if (counts(request)) {
      record(queueing.get(request.patience()), nowMillis - request.arrivalMillis());
    }
  }

  void onFirstToken(BenchRequest request, long nowMillis) {
    firstTokens += nowMillis >= warmUpMillis ? 1 : 0;
    if (counts(request)) {
      record(firstToken.get(request.patience()), nowMillis - request.arrivalMillis());
      if (nowMillis > request.deadlineMillis()) {
        late.merge(request.patience(), 1, Integer::sum);
      }
    }
  }

  void onRefusal(BenchRequest request, ErrorKind kind) {
    if (counts(request)) {
      refused.add(request.id());
      kinds.merge(kind, 1, Integer::sum);
    }
  }

  private static void record(Histogram histogram, long millis) {
    histogram.recordValue(Math.min(millis, 600_000L));
  }
}
