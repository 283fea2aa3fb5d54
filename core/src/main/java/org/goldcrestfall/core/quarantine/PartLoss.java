package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * The answers with one prompt part that a router lost in a crash.
 *
 * @param part the id of the part
 * @param requests the ids of some of the requests; not more than {@link
 *     PartQuarantine#MIN_REQUESTS}, as more make no difference
 * @param longest the progress of the longest of the answers; empty if none had begun
 */
public record PartLoss(
    String part, ImmutableSet<String> requests, Optional<AnswerProgress> longest) {

  /** Returns the sum of two losses of the same part in the same crash. */
  PartLoss plus(PartLoss other) {
    return new PartLoss(
        part,
        limitRequests(requests, other.requests),
        longest.isPresent() && other.longest.isPresent()
            ? Optional.of(longest.get().max(other.longest.get()))
            : longest.or(() -> other.longest));
  }

  private static ImmutableSet<String> limitRequests(
      ImmutableSet<String> a, ImmutableSet<String> b) {
    ImmutableSet.Builder<String> all = ImmutableSet.<String>builder().addAll(a).addAll(b);
    return all.build().stream()
        .limit(PartQuarantine.MIN_REQUESTS)
        .collect(ImmutableSet.toImmutableSet());
  }
}
