package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/**
 * The result of a load run, printed as JSON or as text.
 *
 * @param requests number of finished requests
 * @param whole requests that were answered completely
 * @param attempts number of attempts of all requests
 * @param lost requests that ended with neither a complete answer nor a definite refusal
 * @param wrong requests with a wrong answer
 * @param doubled bookings that ran more than once
 * @param refusedButRan bookings that ran although they were refused as not run
 * @param billedTwice requests billed more than once
 * @param billedWrong requests billed for other token counts than the answer had
 * @param unbilled answered requests without a billing record
 * @param refused refused requests by error kind
 * @param seconds duration of the run
 * @param classes results by patience class
 * @param problems descriptions of the first problems found
 */
record LoadReport(
    long requests,
    long whole,
    long attempts,
    long lost,
    long wrong,
    long doubled,
    @JsonProperty("refused_but_ran") long refusedButRan,
    @JsonProperty("billed_twice") long billedTwice,
    @JsonProperty("billed_wrong") long billedWrong,
    long unbilled,
    Map<String, Long> refused,
    double seconds,
    List<ClassReport> classes,
    List<String> problems) {

  /** Counts and latencies in milliseconds of one patience class. */
  record ClassReport(
      String name,
      long requests,
      long whole,
      long refused,
      @JsonProperty("first_token_p50_millis") double firstTokenP50,
      @JsonProperty("first_token_p99_millis") double firstTokenP99,
      @JsonProperty("total_p50_millis") double totalP50,
      @JsonProperty("total_p99_millis") double totalP99) {}

  /**
   * Returns whether no request was lost, answered wrongly, run twice, run although refused, billed
   * twice or billed wrongly. An answered request without a billing record is no fault: the record
   * may be lost with its router, and the tokens that this router held are then stranded.
   */
  boolean isClean() {
    return lost + wrong + doubled + refusedButRan + billedTwice + billedWrong == 0;
  }

  void print(PrintStream out) {
    out.printf(
        "%d requests in %.1f s, %d attempts, %d whole answers%n",
        requests, seconds, attempts, whole);
    out.printf("lost %d, doubled %d, wrong %d%n", lost, doubled, wrong);
    out.printf(
        "refused but ran %d, billed twice %d, billed wrong %d, unbilled %d%n",
        refusedButRan, billedTwice, billedWrong, unbilled);
    out.println("refused by kind: " + (refused.isEmpty() ? "none" : refused));
    out.printf(
        "%-12s %9s %9s %9s %12s %12s %12s %12s%n",
        "class",
        "requests",
        "whole",
        "refused",
        "first p50",
        "first p99",
        "total p50",
        "total p99");
    for (ClassReport c : classes) {
      out.printf(
          "%-12s %9d %9d %9d %9.1f ms %9.1f ms %9.1f ms %9.1f ms%n",
          c.name().isEmpty() ? "(default)" : c.name(),
          c.requests(),
          c.whole(),
          c.refused(),
          c.firstTokenP50(),
          c.firstTokenP99(),
          c.totalP50(),
          c.totalP99());
    }
    problems.forEach(out::println);
  }
}
