package org.goldcrestfall.core.config;

import org.goldcrestfall.core.control.ConfigView;

/** An action that {@link ConfigFollower} asks its caller to carry out. */
public sealed interface ConfigEffect {

  /**
   * Requests the configuration after {@code revision} from the daemon at {@code address}. The
   * answer or the failure is passed back with {@code id}.
   */
  record RequestUpdate(long id, String address, long revision) implements ConfigEffect {}

  /** Serves from {@code view} from now on, after it is persisted if there is a data folder. */
  record Changed(ConfigView view) implements ConfigEffect {}
}
