package org.goldcrestfall.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.goldcrestfall.core.quarantine.AnswerProgress;
import org.goldcrestfall.core.quarantine.Crash;
import org.goldcrestfall.core.quarantine.LostAnswers;
import org.goldcrestfall.core.quarantine.PartLoss;
import org.goldcrestfall.core.quarantine.PartQuarantine;

/** Measures how long a control daemon takes to apply a report of lost answers. */
public final class QuarantineBench {

  private static final int[] KNOWN_REPORTS = {10, 100, 200};
  private static final int PARTS = 32;
  private static final int ROUTERS_PER_CRASH = 20;
  private static final int ROUNDS = 20;

  private QuarantineBench() {}

  /** Prints the mean time of a report for several numbers of known ones. */
  public static void main(String[] args) {
    for (int known : KNOWN_REPORTS) {
      measure(known);
      System.out.printf(
          "%4d known reports of %d parts: %8.1f us a report%n", known, PARTS, measure(known) / 1e3);
    }
  }

  /** Returns the mean time of one more report, in nanoseconds. */
  private static double measure(int known) {
    long nanos = 0;
    for (int round = 0; round < ROUNDS; round++) {
      PartQuarantine quarantine = new PartQuarantine();
      for (int i = 0; i < known; i++) {
        apply(quarantine, i);
      }
      long start = System.nanoTime();
      apply(quarantine, known);
      nanos += System.nanoTime() - start;
    }
    return (double) nanos / ROUNDS;
  }

  /** Applies a report in which half of the parts are in all reports and the others in none. */
  private static void apply(PartQuarantine quarantine, int number) {
    int crash = number / ROUTERS_PER_CRASH;
    ImmutableList.Builder<PartLoss> parts = ImmutableList.builder();
    for (int p = 0; p < PARTS; p++) {
      String part = p % 2 == 0 ? "shared-" + p : "own-" + number + "-" + p;
      parts.add(
          new PartLoss(
              part,
              ImmutableSet.of("r" + number),
              Optional.of(new AnswerProgress(10L * number, number))));
    }
    long atMillis = 1_000_000 + 1_000L * crash;
    quarantine.update(
        List.of(new LostAnswers(new Crash("s", "u" + crash, 1), atMillis, parts.build())),
        List.of(),
        atMillis);
  }
}
