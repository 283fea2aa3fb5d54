package org.goldcrestfall.daemon.budget;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.goldcrestfall.core.control.BillingRecord;

/** Reservations against the allotments of this router. All methods are thread-safe. */
public interface Budgets {

  /**
   * Sets tokens aside, asking the control group or other routers for more if needed. Fails with
   * {@code RequestFailure(BUDGET_EXHAUSTED)}, or {@code NO_QUORUM} if the control group does not
   * answer.
   */
  CompletionStage<ReservedTokens> reserve(String workspace, long tokens);

  /**
   * Settles a reservation with the request's billing record; the rest of it becomes free. The
   * future completes when the control group has answered, and never fails.
   */
  CompletableFuture<Void> settle(ReservedTokens reservation, BillingRecord record);

  /** Frees a reservation whose request used nothing. */
  void release(ReservedTokens reservation);
}
