package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/** One entry of the replicated log. The payload array must not be modified. */
public record Entry(long term, long index, Type type, byte[] payload) {

  /** The kind of an entry. The ordinal is stored on disk and sent on the wire. */
  public enum Type {
    /** An empty entry, with which a new leader commits the entries of earlier terms. */
    NOOP,
    /** A command of the replicated state machine. */
    COMMAND,
    /** The complete member list, which takes effect as soon as the entry is in the log. */
    MEMBERS
  }

  /** Checks the arguments. */
  public Entry {
    checkArgument(term > 0, "term must be positive: %s", term);
    checkArgument(index > 0, "index must be positive: %s", index);
  }

  /** Compares the payloads by content, unlike the default of a record. */
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
