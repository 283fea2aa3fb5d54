package org.goldcrestfall.core.config;

import org.goldcrestfall.core.control.ConfigView;

/** What the caller of {@link ConfigFollower} has to do. */
public sealed interface ConfigEffect {

  /**
   * Ask the daemon at {@code address} for what follows {@code revision}; pass the answer or the
   * failure back under {@code id}.
   */
  record Ask(long id, String address, long revision) implements ConfigEffect {}

  /** Serve from {@code view} from now on, and persist it first if there is a data folder. */
  record Changed(ConfigView view) implements ConfigEffect {}
}
