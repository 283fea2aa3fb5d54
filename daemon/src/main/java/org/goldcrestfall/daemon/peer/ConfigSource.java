package org.goldcrestfall.daemon.peer;

import java.util.List;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;

/** The configuration as the control member in this process has applied it. Must be thread-safe. */
public interface ConfigSource {

  /** Returns the newest applied configuration. */
  ConfigView view();

  /** Returns the changes after {@code revision} in order, or null if some were dropped. */
  default List<ConfigChange> changesAfter(long revision) {
    return null;
  }
}
