package org.goldcrestfall.standin.load;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of requests. Thread-safe. */
final class LoadStatistics {

  private static final int MAX_PROBLEMS = 20;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Counts and times of one patience class. */
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
   * Counts a finished request. A request is lost if it ends neither with the whole answer nor with
   * a definite refusal; times count from the time at which the trace has it, so that a stalled
   * generator does not hide delays.
   */
  synchronized void recordOutcome(
      TraceEntry entry, AttemptResult last, int attemptCount, long dueNanos) {
    final ClassStatistics of =
        classes.computeIfAbsent(entry.patienceClass(), name -> new ClassStatistics());
    of.requests++;
    requests++;
    attempts += attemptCount;
    if (last.isWrong()) {
      wrong++;
      addProblem(entry, "wrong, " + last.errorKind() + " " + last.problem());
    } else if (last.isComplete()) {
      complete++;
      of.complete++;
      of.totalMicros.recordValue((System.nanoTime() - dueNanos) / NANOS_PER_MICRO);
      if (entry.kind() == TraceEntry.Kind.STREAM) {
        of.firstTokenMicros.recordValue((last.firstTokenAtNanos() - dueNanos) / NANOS_PER_MICRO);
      }
    } else if (isDefiniteRefusal(entry, last)) {
      of.refused++;
      refusedByKind.merge(last.errorKind(), 1L, Long::sum);
    } else {
      lost++;
      addProblem(
          entry,
          "lost after " + attemptCount + " attempts, " + last.errorKind() + " " + last.detail());
    }
  }

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

  synchronized LoadReport report(double seconds, ServiceAudit.Result runs, BillingAudit.Result b) {
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
        runs.doubled(),
        runs.refusedButRan(),
        b.billedTwice(),
        b.billedWrong(),
        b.unbilled(),
        ImmutableSortedMap.copyOf(refusedByKind),
        seconds,
        reports,
        List.copyOf(problems));
  }

  private static boolean isDefiniteRefusal(TraceEntry entry, AttemptResult last) {
    boolean unknown =
        entry.kind() == TraceEntry.Kind.BOOKING && last.errorKind().equals("outcome_unknown");
    return last.notRun() || unknown;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getTotalCount() == 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
