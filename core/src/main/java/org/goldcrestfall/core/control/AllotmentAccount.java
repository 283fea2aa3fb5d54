package org.goldcrestfall.core.control;

import org.goldcrestfall.core.common.Incarnation;

/**
 * The account of one incarnation in one budget, in cumulative tokens. {@code highestUsed} is the
 * proved upper bound of use of a closed incarnation, -1 where there is none; {@code freed} is what
 * that proof returned; {@code released} is what an operator returned. {@code closedAt} is the log
 * index of the closing, 0 while open.
 */
public record AllotmentAccount(
    String workspace,
    Incarnation router,
    long granted,
    long transferredIn,
    long transferredOut,
    long charged,
    long returned,
    long highestUsed,
    long freed,
    long released,
    long closedAt,
    boolean releaseRequested) {

  /** Returns the open allotment, or the stranded tokens of a closed incarnation. */
  public long balance() {
    return granted + transferredIn - transferredOut - charged - returned - freed - released;
  }
}
