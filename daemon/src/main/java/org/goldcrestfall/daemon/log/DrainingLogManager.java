package org.goldcrestfall.daemon.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown. The default one removes them in a shutdown
 * hook of its own, so that nothing of the draining would be logged.
 */
public final class DrainingLogManager extends LogManager {

  private volatile boolean installed;

  @Override
  public void reset() {
    if (!installed) {
      super.reset();
    }
  }

  void markInstalled() {
    installed = true;
  }
}
