package org.goldcrestfall.core.site;

/**
 * Tells whether a member that replays its log after a restart has reached the newest state that a
 * leader had after that restart. Until then, what it has applied may be outdated. Not thread-safe.
 */
public final class ReplayProgress {

  private long confirmedIndex = -1;

  /** Records the log index of the last change that a leader had applied after the restart. */
  public void recordConfirmedIndex(long index) {
    confirmedIndex = Math.max(confirmedIndex, index);
  }

  /**
   * Returns whether the state may be published.
   *
   * @param lastChangeIndex the log index of the last change that this member has applied
   */
  public boolean isComplete(long lastChangeIndex) {
    return confirmedIndex >= 0 && lastChangeIndex >= confirmedIndex;
  }
}
