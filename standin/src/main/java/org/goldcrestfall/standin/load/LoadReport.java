package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/** The result of a load run. */
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

  /** Counts and times in milliseconds of one patience class. */
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
   * Returns whether nothing was lost, doubled, wrong, billed twice or billed wrong. An answer
   * without a record does not count: the record may have died with its router, whose tokens are
   * stranded.
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
