package org.goldcrestfall.core.config;

import org.goldcrestfall.core.control.ConfigView;

/** What the caller of {@link ConfigFollower} has to do. */
public sealed interface ConfigEffect {

  /**
   * Ask the daemon at {@code address} for what follows {@code revision}; the answer carries {@code
   * id}, and a failure is passed back under it.
   */
  record Ask(long id, String address, long revision) implements ConfigEffect {}

  /** Serve from {@code view} from now on, and persist it first if there is a data folder. */
  record Changed(ConfigView view) implements ConfigEffect {}
}
