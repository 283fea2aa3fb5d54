package org.goldcrestfall.standin.load;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of requests. Thread-safe. */
final class Tally {

  private static final int MAX_PROBLEMS = 20;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Counts and times of one patience class. */
  private static final class ClassTally {
    private long requests;
    private long whole;
    private long refused;
    private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram total = new Histogram(SIGNIFICANT_DIGITS);
  }

  private final TreeMap<String, ClassTally> classes = new TreeMap<>();
  private final TreeMap<String, Long> refused = new TreeMap<>();
  private final List<String> problems = new ArrayList<>();
  private long requests;
  private long whole;
  private long attempts;
  private long lost;
  private long wrong;

  /**
   * Counts a finished request. A request is lost if it ends neither with the whole answer nor with
   * a definite refusal; times count from the time at which the trace has it, so that a stalled
   * generator does not hide delays.
   */
  synchronized void finished(TraceEntry entry, Attempt last, int attemptCount, long dueNanos) {
    final ClassTally of = classes.computeIfAbsent(entry.patience(), name -> new ClassTally());
    of.requests++;
    requests++;
    attempts += attemptCount;
    if (last.isWrong()) {
      wrong++;
      problem(entry, "wrong, " + last.kind() + " " + last.problem());
    } else if (last.isWhole()) {
      whole++;
      of.whole++;
      of.total.recordValue((System.nanoTime() - dueNanos) / NANOS_PER_MICRO);
      if (entry.kind() == TraceEntry.Kind.STREAM) {
        of.firstToken.recordValue((last.firstTokenAtNanos() - dueNanos) / NANOS_PER_MICRO);
      }
    } else if (isDefinite(entry, last)) {
      of.refused++;
      refused.merge(last.kind(), 1L, Long::sum);
    } else {
      lost++;
      problem(
          entry, "lost after " + attemptCount + " attempts, " + last.kind() + " " + last.detail());
    }
  }

  synchronized void problem(String text) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(text);
    }
  }

  private void problem(TraceEntry entry, String text) {
    problem(entry.id() + " (" + entry.kind() + "): " + text);
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
                    c.whole,
                    c.refused,
                    millis(c.firstToken, 50),
                    millis(c.firstToken, 99),
                    millis(c.total, 50),
                    millis(c.total, 99))));
    return new LoadReport(
        requests,
        whole,
        attempts,
        lost,
        wrong,
        runs.doubled(),
        runs.refusedButRan(),
        b.billedTwice(),
        b.billedWrong(),
        b.unbilled(),
        ImmutableSortedMap.copyOf(refused),
        seconds,
        reports,
        List.copyOf(problems));
  }

  private static boolean isDefinite(TraceEntry entry, Attempt last) {
    boolean unknown =
        entry.kind() == TraceEntry.Kind.BOOKING && last.kind().equals("outcome_unknown");
    return last.notRun() || unknown;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getTotalCount() == 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
