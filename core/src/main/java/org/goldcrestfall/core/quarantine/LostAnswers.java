package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * The answers that one router lost in the crash of an upstream, counted by prompt part. One crash
 * may be reported several times, by several routers and with different parts.
 *
 * @param atMillis the time of the crash on the router's clock, in milliseconds since the epoch
 */
public record LostAnswers(Crash crash, long atMillis, ImmutableList<PartLoss> parts) {

  /** Converts the report of a release that reported only answers that had not begun. */
  public static LostAnswers of(CrashReport report) {
    return new LostAnswers(
        report.crash(),
        report.atMillis(),
        report.parts().stream()
            .map(p -> new PartLoss(p, ImmutableSet.of(report.request()), Optional.empty()))
            .collect(ImmutableList.toImmutableList()));
  }
}
