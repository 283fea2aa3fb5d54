package org.goldcrestfall.core.consensus;

/**
 * The state after {@code lastIndex}, with the member list as of it. The data must not be changed.
 */
public record Snapshot(long lastIndex, long lastTerm, Members members, byte[] data) {

  /** Returns the state of a group before its first entry. */
  public static Snapshot initial(Members members) {
    return new Snapshot(0, 0, members, new byte[0]);
  }

  @Override
  public String toString() {
    return "snapshot@" + lastIndex + "/" + lastTerm;
  }
}
