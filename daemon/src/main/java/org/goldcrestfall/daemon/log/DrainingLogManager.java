package org.goldcrestfall.daemon.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown. The default log manager removes them in
 * its own shutdown hook, so that the messages of a graceful shutdown would be lost.
 */
public final class DrainingLogManager extends LogManager {

  private volatile boolean handlerInstalled;

  @Override
  public void reset() {
    if (!handlerInstalled) {
      super.reset();
    }
  }

  void markHandlerInstalled() {
    handlerInstalled = true;
  }
}
