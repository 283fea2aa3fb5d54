package org.goldcrestfall.core.control;

import org.goldcrestfall.core.common.Incarnation;

/**
 * The account of one router incarnation in one budget, in cumulative tokens. {@code highestUsed} is
 * the proved upper bound of a closed incarnation's use, -1 if nothing is proved. {@code freed} are
 * the tokens that the proof returned to the budget, {@code released} those that an operator
 * returned. {@code closedAt} is the log index at which the account was closed, 0 while it is open.
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

  /** Returns the outstanding tokens of an open account, or the stranded tokens of a closed one. */
  public long balance() {
    return granted + transferredIn - transferredOut - charged - returned - freed - released;
  }
}
