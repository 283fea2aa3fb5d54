package org.goldcrestfall.daemon.control;

/** This member does not lead, and did not and will not commit the command. */
public final class NotLeaderException extends RuntimeException {

  private final String leaderAddress;

  /** Creates the exception; {@code leaderAddress} is empty where the leader is unknown. */
  public NotLeaderException(String leaderAddress) {
    super(
        leaderAddress.isEmpty() ? "no leader is known" : "the leader is " + leaderAddress,
        null,
        false,
        false);
    this.leaderAddress = leaderAddress;
  }

  /** Returns the peer address of the leader, or an empty string. */
  public String leaderAddress() {
    return leaderAddress;
  }
}
