package org.goldcrestfall.core.dispatch;

import java.util.Collection;
import java.util.Optional;

/** Chooses the upstream of a request. */
public interface UpstreamChoice {

  /** Returns the best of the candidates, or nothing if there are none. */
  Optional<UpstreamLoad> choose(
      Collection<UpstreamLoad> candidates, Workload workload, long nowMillis);
}
