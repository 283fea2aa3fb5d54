package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Collection;
import java.util.OptionalLong;
import java.util.Set;
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
    for (String id : ids) {
      SuspectPart suspect = parts.get(new ServicePart(service, id));
      if (suspect == null
          || suspect.quarantinedAtMillis() == 0
          || !ids.containsAll(suspect.companions())) {
        continue;
      }
      long remaining = suspect.quarantinedAtMillis() + PartQuarantine.QUARANTINE_MILLIS - nowMillis;
      if (remaining > 0) {
        return OptionalLong.of(remaining);
      }
    }
    return OptionalLong.empty();
  }

  /** Returns whether an upstream other than {@code upstream} crashed under a shared part. */
  public boolean hasCrashedOther(String service, RequestSize requestSize, String upstream) {
    if (parts.isEmpty()) {
      return false;
    }
    for (PromptPart p : requestSize.sharedParts()) {
      SuspectPart suspect = parts.get(new ServicePart(service, p.id()));
      if (suspect != null && suspect.upstreams().stream().anyMatch(u -> !u.equals(upstream))) {
        return true;
      }
    }
    return false;
  }
}
