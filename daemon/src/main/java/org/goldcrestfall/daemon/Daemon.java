package org.goldcrestfall.daemon;

import org.goldcrestfall.daemon.settings.Settings;

/** Builds the parts of a daemon for its roles, starts them and shuts them down. */
public final class Daemon {

  private final Settings settings;

  /** Creates the daemon; {@link #start} starts it. */
  public Daemon(Settings settings) {
    this.settings = settings;
  }

  /** Starts all parts. */
  public void start() {
    settings.host();
  }

  /** Shuts down gracefully; returns when no request is open. */
  public void shutdown() {}
}
