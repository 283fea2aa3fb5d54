package org.goldcrestfall.core.quarantine;

import com.google.common.collect.Collections2;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.goldcrestfall.core.dispatch.PromptPart;
import org.goldcrestfall.core.dispatch.RequestSize;

/**
 * The suspect parts of all services at one log index. Immutable.
 *
 * @param index the log index at which the parts last changed; 0 if there were none yet
 */
public record QuarantineView(long index, ImmutableMap<ServicePart, SuspectPart> parts) {

  /** The view before any crash. */
  public static final QuarantineView EMPTY = new QuarantineView(0, ImmutableMap.of());

  /** Creates a view of parts that differ from each other. */
  public static QuarantineView of(long index, Collection<SuspectPart> parts) {
    return new QuarantineView(index, Maps.uniqueIndex(parts, SuspectPart::part));
  }

  /**
   * Returns the milliseconds for which requests of this prompt are still refused, or nothing if
   * none of its shared parts is in quarantine together with its companions.
   *
   * @param nowMillis milliseconds since the epoch
   */
  public OptionalLong quarantineMillis(String service, RequestSize requestSize, long nowMillis) {
    if (parts.isEmpty()) {
      return OptionalLong.empty();
    }
    Set<String> ids =
        requestSize.sharedParts().stream().map(PromptPart::id).collect(Collectors.toSet());
    for (SuspectPart suspect : suspectsOf(service, requestSize)) {
      if (suspect.quarantinedAtMillis() == 0 || !ids.containsAll(suspect.companions())) {
        continue;
      }
      long remaining = suspect.quarantinedAtMillis() + PartQuarantine.QUARANTINE_MILLIS - nowMillis;
      if (remaining > 0) {
        return OptionalLong.of(remaining);
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Returns whether sending a request again, whose answer was lost at an upstream, may crash
   * another one, as others have crashed under a part of its prompt. One such crash suffices if the
   * answer had not begun, or if the request was lost before. Many sound answers are lost after they
   * have begun, so two are needed then.
   *
   * @param upstream the id of the upstream
   * @param begun whether a part of the answer has been forwarded
   * @param lostAttempts the number of attempts that were lost, including the last one
   */
  public boolean mayCrashNext(
      String service, RequestSize requestSize, String upstream, boolean begun, int lostAttempts) {
    int needed = begun && lostAttempts < 2 ? 2 : 1;
    return suspectsOf(service, requestSize).stream()
        .anyMatch(s -> s.upstreams().stream().filter(u -> !u.equals(upstream)).count() >= needed);
  }

  /**
   * Returns the least progress that shows that one of the suspect shared parts of a prompt did not
   * cause a crash, or nothing if none can show this before the end of the answer.
   */
  public Optional<AnswerProgress> soundAfter(String service, RequestSize requestSize) {
    return suspectsOf(service, requestSize).stream()
        .flatMap(s -> s.soundAfter().stream())
        .min(AnswerProgress.SHORTEST_FIRST);
  }

  /** Returns the suspect ones of the shared parts of a prompt. */
  public List<SuspectPart> suspectsOf(String service, RequestSize requestSize) {
    if (parts.isEmpty()) {
      return List.of();
    }
    return requestSize.sharedParts().stream()
        .map(p -> parts.get(new ServicePart(service, p.id())))
        .filter(Objects::nonNull)
        .toList();
  }

  /** Returns this view without the parts that a condition holds for. */
  public QuarantineView without(Predicate<SuspectPart> condition) {
    return parts.values().stream().noneMatch(condition)
        ? this
        : of(index, Collections2.filter(parts.values(), s -> !condition.test(s)));
  }
}
