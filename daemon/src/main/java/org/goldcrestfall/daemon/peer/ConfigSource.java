package org.goldcrestfall.daemon.peer;

import java.util.List;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;

/** The configuration that the control member in this process has applied. Must be thread-safe. */
public interface ConfigSource {

  /** Returns the latest applied configuration. */
  ConfigView view();

  /** Returns the changes after {@code revision} in order, or null if some are no longer kept. */
  default List<ConfigChange> changesAfter(long revision) {
    return null;
  }
}
