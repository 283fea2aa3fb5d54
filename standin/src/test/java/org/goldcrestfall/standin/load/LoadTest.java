package org.goldcrestfall.standin.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.beust.jcommander.JCommander;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.goldcrestfall.standin.upstream.Json;

/**
 * Guards against traces that are not repeatable or ignore their options, and against faults that do
 * not fail a load run, which then ends with exit code 0 instead of 1.
 */
class LoadTest {

  private static final int REQUESTS = 5000;

  private static LoadOptions options(String... extraArguments) {
    LoadOptions options = new LoadOptions();
    String[] arguments = {"--servers", "127.0.0.1:1", "--keys", "k1,k2", "--rate", "100"};
    JCommander.newBuilder()
        .addObject(options)
        .build()
        .parse(
            java.util.stream.Stream.of(arguments, extraArguments)
                .flatMap(java.util.Arrays::stream)
                .toArray(String[]::new));
    return options;
  }

  private static List<TraceEntry> trace(LoadOptions options) {
    TraceGenerator generator = new TraceGenerator(options);
    return IntStream.range(0, REQUESTS).mapToObj(i -> generator.next()).toList();
  }

  private static TraceEntry booking(String id) {
    return new TraceEntry(
        0, id, TraceEntry.Kind.BOOKING, "quick", 0, trace(options()).get(0).prompt(), 1, "item-1");
  }

  private static AttemptResult refusal(String errorKind, String run) {
    return AttemptResult.ofError(
        Json.parse("{\"kind\":\"" + errorKind + "\",\"run\":\"" + run + "\",\"retry\":true}"), "");
  }

  private static LoadReport report(LoadStatistics statistics) {
    return statistics.report(1, new ServiceAudit.Result(0, 0), new BillingAudit.Result(0, 0, 0));
  }

  @Example
  void sameSeedGivesTheSameTraceAndAnotherSeedAnother() {
    assertThat(trace(options("--seed", "7"))).isEqualTo(trace(options("--seed", "7")));
    assertThat(trace(options("--seed", "8"))).isNotEqualTo(trace(options("--seed", "7")));
  }

  @Example
  void traceHasTheRateAndSharesOfTheOptions() {
    List<TraceEntry> trace =
        trace(
            options(
                "--classes",
                "quick=3,patient=1",
                "--lookup-share",
                "0.2",
                "--booking-share",
                "0.1"));
    assertThat(trace.get(REQUESTS - 1).offsetNanos() / 1e9).isBetween(47.0, 53.0);
    Map<TraceEntry.Kind, Long> kinds =
        trace.stream().collect(Collectors.groupingBy(TraceEntry::kind, Collectors.counting()));
    assertThat(kinds.get(TraceEntry.Kind.LOOKUP)).isBetween(900L, 1100L);
    assertThat(kinds.get(TraceEntry.Kind.BOOKING)).isBetween(420L, 580L);
    assertThat(trace.stream().filter(e -> e.patienceClass().equals("quick")).count())
        .isBetween(3600L, 3900L);
    assertThat(trace.stream().map(TraceEntry::id).distinct()).hasSize(REQUESTS);
    assertThat(trace.stream().filter(TraceEntry::isChat).map(TraceEntry::prompt).distinct().count())
        .isEqualTo(trace.stream().filter(TraceEntry::isChat).count());
  }

  @Example
  void classWithoutShareIsRejected() {
    assertThatThrownBy(() -> trace(options("--classes", "quick")))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessage("--classes: quick, expected NAME=SHARE");
  }

  @Example
  void onlyRequestsWithoutDefiniteOutcomeAreCountedAsLost() {
    LoadStatistics statistics = new LoadStatistics();
    statistics.recordOutcome(
        booking("a"),
        AttemptResult.connectionLost(new java.io.IOException("reset")),
        3,
        System.nanoTime());
    statistics.recordOutcome(booking("b"), refusal("upstream_failed", "ran"), 3, System.nanoTime());
    statistics.recordOutcome(booking("c"), refusal("overloaded", "not_run"), 3, System.nanoTime());
    statistics.recordOutcome(
        booking("d"), refusal("outcome_unknown", "unknown"), 1, System.nanoTime());
    LoadReport report = report(statistics);
    assertThat(report.lost()).isEqualTo(2);
    assertThat(report.refused()).isEqualTo(Map.of("overloaded", 1L, "outcome_unknown", 1L));
    assertThat(report.isClean()).isFalse();
  }

  @Example
  void wrongAnswerMakesTheRunFail() {
    LoadStatistics statistics = new LoadStatistics();
    statistics.recordOutcome(booking("a"), AttemptResult.answered(""), 1, System.nanoTime());
    assertThat(report(statistics).isClean()).isTrue();
    statistics.recordOutcome(
        booking("b"), AttemptResult.answered("token 3 is not of this answer"), 1, 0);
    assertThat(report(statistics).wrong()).isEqualTo(1);
    assertThat(report(statistics).isClean()).isFalse();
  }

  @Example
  void bookingThatRanTwiceOrDespiteRefusalIsReported() {
    Map<String, AttemptResult> outcomes =
        Map.of(
            "twice", AttemptResult.answered(""),
            "once", AttemptResult.answered(""),
            "refused", refusal("no_quorum", "not_run"),
            "refused-but-ran", refusal("no_quorum", "not_run"));
    Map<String, Integer> runs = Map.of("twice", 2, "once", 1, "refused-but-ran", 1);
    assertThat(ServiceAudit.compare(outcomes, runs, new LoadStatistics()))
        .isEqualTo(new ServiceAudit.Result(1, 1));
  }
}
