package org.goldcrestfall.core.site;

import org.goldcrestfall.core.site.SiteState.StoredConfiguration;

/**
 * Withholds the outdated configurations that a member applies while it replays its log after a
 * restart, until it has reached a configuration that a leader had in force after the restart. Not
 * thread-safe.
 */
public final class ReplayedConfigurationFilter {

  private long confirmedIndex = -1;

  /** Records the log index of a configuration that a leader had in force after the restart. */
  public void recordConfirmedIndex(long index) {
    confirmedIndex = Math.max(confirmedIndex, index);
  }

  /** Returns the applied configuration if it may be published, otherwise {@code NONE}. */
  public StoredConfiguration filter(StoredConfiguration applied) {
    boolean replayComplete = confirmedIndex >= 0 && applied.index() >= confirmedIndex;
    return replayComplete ? applied : StoredConfiguration.NONE;
  }
}
