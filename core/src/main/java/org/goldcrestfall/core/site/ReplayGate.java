package org.goldcrestfall.core.site;

import org.goldcrestfall.core.site.SiteState.StoredConfiguration;

/**
 * Holds back the configurations that a member passes through while it replays its log after a
 * start, until it has reached the one that the leader had in force at some time since. Not
 * thread-safe.
 */
public final class ReplayGate {

  private long confirmedIndex = -1;

  /** Notes the log index of the configuration that a leader had in force after the start. */
  public void confirm(long index) {
    confirmedIndex = Math.max(confirmedIndex, index);
  }

  /** Returns the applied configuration if it may be given out, otherwise none. */
  public StoredConfiguration pass(StoredConfiguration applied) {
    boolean replayed = confirmedIndex >= 0 && applied.index() >= confirmedIndex;
    return replayed ? applied : StoredConfiguration.NONE;
  }
}
