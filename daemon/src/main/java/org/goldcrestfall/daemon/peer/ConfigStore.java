package org.goldcrestfall.daemon.peer;

import java.io.IOException;
import org.goldcrestfall.core.control.ConfigView;

/** Persists the latest configuration across restarts. */
interface ConfigStore {

  /** Returns the stored view, or {@link ConfigView#EMPTY} if there is none or it is corrupted. */
  ConfigView load() throws IOException;

  /** Stores a view in place of the earlier one; it is durable on return. */
  void save(ConfigView view) throws IOException;
}
