package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/** One entry of the replicated log. The payload must not be changed. */
public record Entry(long term, long index, Type type, byte[] payload) {

  /** What an entry carries; the ordinal is the number on disk and on the wire. */
  public enum Type {
    /** Nothing; the first entry of a leader. */
    NOOP,
    /** A command of the replicated state machine. */
    COMMAND,
    /** The whole member list that is in force from this entry on. */
    MEMBERS
  }

  /** Checks the arguments. */
  public Entry {
    checkArgument(term > 0, "term must be positive: %s", term);
    checkArgument(index > 0, "index must be positive: %s", index);
  }

  /** Returns whether both entries carry the same bytes at the same place. */
  @Override
  public boolean equals(Object other) {
    return other instanceof Entry o
        && term == o.term
        && index == o.index
        && type == o.type
        && java.util.Arrays.equals(payload, o.payload);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(term * 31 + index);
  }

  @Override
  public String toString() {
    return type + "@" + index + "/" + term;
  }
}
