package org.goldcrestfall.daemon.peer;

import java.io.IOException;
import org.goldcrestfall.core.control.ConfigView;

/** Keeps the newest configuration across restarts. */
interface ConfigStore {

  /** Returns the stored view; {@link ConfigView#EMPTY} if there is none or it is damaged. */
  ConfigView load() throws IOException;

  /** Stores a view durably. */
  void save(ConfigView view) throws IOException;
}
