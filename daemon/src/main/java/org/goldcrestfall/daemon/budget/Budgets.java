package org.goldcrestfall.daemon.budget;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.goldcrestfall.core.control.BillingRecord;

/** Reserves and settles tokens of this router's allotments. All methods are thread-safe. */
public interface Budgets {

  /**
   * Reserves tokens for a request, and requests more from the control group or other routers if
   * needed. Fails with a {@code RequestFailure} of kind {@code BUDGET_EXHAUSTED} if the budget does
   * not cover the request, {@code NO_QUORUM} if the control group does not answer, or {@code
   * OVERLOADED} if too many requests wait or the router's disk is too slow.
   */
  CompletionStage<ReservedTokens> reserve(String workspace, long tokens);

  /**
   * Settles a reservation with the billing record of the request and frees the unused tokens. The
   * future completes when the control group has answered, and never fails.
   */
  CompletableFuture<Void> settle(ReservedTokens reservation, BillingRecord record);

  /** Frees a reservation whose request used no tokens. */
  void release(ReservedTokens reservation);
}
