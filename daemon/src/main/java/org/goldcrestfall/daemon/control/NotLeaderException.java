package org.goldcrestfall.daemon.control;

/**
 * Thrown by a member that is not the leader. A command that fails with this exception has not been
 * committed and never will be.
 */
public final class NotLeaderException extends RuntimeException {

  private final String leaderAddress;

  /**
   * Creates an exception.
   *
   * @param leaderAddress the peer address of the leader, or an empty string if none is known
   */
  public NotLeaderException(String leaderAddress) {
    super(
        leaderAddress.isEmpty() ? "no leader is known" : "the leader is " + leaderAddress,
        null,
        false,
        false);
    this.leaderAddress = leaderAddress;
  }

  /** Returns the peer address of the leader, or an empty string if none is known. */
  public String leaderAddress() {
    return leaderAddress;
  }
}
