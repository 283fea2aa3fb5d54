package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/** The term and the vote in it; {@code vote} is empty before the member has voted. */
public record HardState(long term, String vote) {

  /** The state of a member that has never heard of a term. */
  public static final HardState INITIAL = new HardState(0, "");

  /** Checks the arguments. */
  public HardState {
    checkArgument(term >= 0, "term must not be negative: %s", term);
  }
}
