package org.goldcrestfall.daemon.upstream;

import java.util.Set;
import org.goldcrestfall.core.routing.Candidate;

/**
 * An upstream whose announcement has not expired. {@code service} is empty for an engine; {@code
 * models} is empty for a plain service.
 */
public record KnownUpstream(
    String name,
    String address,
    String zone,
    Set<String> models,
    String service,
    int running,
    int waiting,
    int slots,
    long loadAgeMillis,
    boolean leaving) {

  Candidate toCandidate() {
    return new Candidate(
        name, zone, models, Set.of(), running, waiting, Math.max(1, slots), loadAgeMillis, leaving);
  }
}
