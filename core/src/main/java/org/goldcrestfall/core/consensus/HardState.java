package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The current term and the member id voted for in it; {@code vote} is empty if there was no vote.
 */
public record HardState(long term, String vote) {

  /** The state of a member before its first term. */
  public static final HardState INITIAL = new HardState(0, "");

  /** Checks the arguments. */
  public HardState {
    checkArgument(term >= 0, "term must not be negative: %s", term);
  }
}
