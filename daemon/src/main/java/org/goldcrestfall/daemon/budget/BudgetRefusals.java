package org.goldcrestfall.daemon.budget;

import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;

/** Creates the failures of requests for which no tokens could be reserved. */
final class BudgetRefusals {

  private BudgetRefusals() {}

  static RequestFailure exhausted(String workspace) {
    return new RequestFailure(
        ErrorKind.BUDGET_EXHAUSTED,
        "The budget of workspace " + workspace + " does not cover the request.");
  }

  /**
   * Creates the failure of a request for whose tokens the control group has not answered a grant
   * request, so that it is unknown whether the budget is exhausted.
   */
  static RequestFailure unanswered(String workspace) {
    return new RequestFailure(
        ErrorKind.NO_QUORUM,
        "This router holds too few tokens of workspace "
            + workspace
            + ", and the control group does not answer.");
  }

  static RequestFailure slowDisk() {
    return new RequestFailure(
        ErrorKind.OVERLOADED, "The disk of this router is too slow to cover the request.");
  }

  static RequestFailure tooManyWaiting(String workspace) {
    return new RequestFailure(
        ErrorKind.OVERLOADED, "Too many requests wait for tokens of workspace " + workspace + ".");
  }
}
