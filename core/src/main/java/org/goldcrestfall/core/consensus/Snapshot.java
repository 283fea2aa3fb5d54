package org.goldcrestfall.core.consensus;

/**
 * The state after the entry at {@code lastIndex}, with the member list in effect there. The data
 * array must not be modified.
 */
public record Snapshot(long lastIndex, long lastTerm, Members members, byte[] data) {

  /** Returns the snapshot of a group before its first entry. */
  public static Snapshot initial(Members members) {
    return new Snapshot(0, 0, members, new byte[0]);
  }

  @Override
  public String toString() {
    return "snapshot@" + lastIndex + "/" + lastTerm;
  }
}
