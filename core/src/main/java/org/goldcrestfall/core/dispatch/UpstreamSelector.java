package org.goldcrestfall.core.dispatch;

import java.util.Collection;
import java.util.Optional;

/** Selects the upstream to which a request is sent. */
public interface UpstreamSelector {

  /** Returns the best of the candidates, or empty if there is none. */
  Optional<UpstreamLoad> choose(
      Collection<UpstreamLoad> candidates, RequestSize requestSize, long nowMillis);
}
