package org.goldcrestfall.standin.load;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of the finished requests of a load run. Thread-safe. */
final class LoadStatistics {

  private static final int MAX_PROBLEMS = 20;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Counts and latencies of one patience class. */
  private static final class ClassStatistics {
    private long requests;
    private long complete;
    private long refused;
    private final Histogram firstTokenMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram totalMicros = new Histogram(SIGNIFICANT_DIGITS);
  }

  private final TreeMap<String, ClassStatistics> classes = new TreeMap<>();
  private final TreeMap<String, Long> refusedByKind = new TreeMap<>();
  private final List<String> problems = new ArrayList<>();
  private long requests;
  private long complete;
  private long attempts;
  private long lost;
  private long wrong;

  /**
   * Records a finished request. A request is lost if it ends with neither a complete answer nor a
   * definite refusal. Latencies count from the scheduled time of the request, so that a stalled
   * load generator does not hide delays.
   *
   * @param last the result of the last attempt
   * @param scheduledNanos time at which the trace schedules the request, as {@link
   *     System#nanoTime()}
   */
  synchronized void recordOutcome(
      TraceEntry entry, AttemptResult last, int attemptCount, long scheduledNanos) {
    final ClassStatistics classStatistics =
        classes.computeIfAbsent(entry.patienceClass(), name -> new ClassStatistics());
    classStatistics.requests++;
    requests++;
    attempts += attemptCount;
    if (last.isWrong()) {
      wrong++;
      addProblem(entry, "wrong, " + last.errorKind() + " " + last.problem());
    } else if (last.isComplete()) {
      complete++;
      classStatistics.complete++;
      classStatistics.totalMicros.recordValue(
          (System.nanoTime() - scheduledNanos) / NANOS_PER_MICRO);
      if (entry.kind() == TraceEntry.Kind.STREAM) {
        classStatistics.firstTokenMicros.recordValue(
            (last.firstTokenAtNanos() - scheduledNanos) / NANOS_PER_MICRO);
      }
    } else if (isDefiniteRefusal(entry, last)) {
      classStatistics.refused++;
      refusedByKind.merge(last.errorKind(), 1L, Long::sum);
    } else {
      lost++;
      addProblem(
          entry,
          "lost after " + attemptCount + " attempts, " + last.errorKind() + " " + last.detail());
    }
  }

  /** Adds a line to the report; lines beyond the first {@value #MAX_PROBLEMS} are dropped. */
  synchronized void addProblem(String text) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(text);
    }
  }

  private void addProblem(TraceEntry entry, String text) {
    addProblem(entry.id() + " (" + entry.kind() + "): " + text);
  }

  synchronized long finishedCount() {
    return requests;
  }

  synchronized LoadReport report(
      double seconds, ServiceAudit.Result serviceResult, BillingAudit.Result billingResult) {
    List<LoadReport.ClassReport> reports = new ArrayList<>();
    classes.forEach(
        (name, c) ->
            reports.add(
                new LoadReport.ClassReport(
                    name,
                    c.requests,
                    c.complete,
                    c.refused,
                    millis(c.firstTokenMicros, 50),
                    millis(c.firstTokenMicros, 99),
                    millis(c.totalMicros, 50),
                    millis(c.totalMicros, 99))));
    return new LoadReport(
        requests,
        complete,
        attempts,
        lost,
        wrong,
        serviceResult.doubled(),
        serviceResult.refusedButRan(),
        billingResult.billedTwice(),
        billingResult.billedWrong(),
        billingResult.unbilled(),
        ImmutableSortedMap.copyOf(refusedByKind),
        seconds,
        reports,
        List.copyOf(problems));
  }

  /** Returns whether the request was not run, or is a booking refused with an unknown outcome. */
  private static boolean isDefiniteRefusal(TraceEntry entry, AttemptResult last) {
    boolean outcomeUnknown =
        entry.kind() == TraceEntry.Kind.BOOKING && last.errorKind().equals("outcome_unknown");
    return last.notRun() || outcomeUnknown;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getTotalCount() == 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
