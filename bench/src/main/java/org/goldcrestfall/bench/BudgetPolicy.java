package org.goldcrestfall.bench;

import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;

/** A way to keep the routers of a trace within the budgets. */
interface BudgetPolicy {

  /** Decides whether a router serves a request; the decision may come later. */
  void request(int router, Request request, Consumer<Boolean> decision);

  /** Ends a request that the router served. */
  void end(int router, Request request);

  void topUp(TopUp topUp);

  void crash(int router);

  void restart(int router);

  void cut(int router, boolean cut);

  /** Returns whether the load balancer sees a live router as ready. */
  default boolean isReady(int router) {
    return true;
  }

  /** Returns what may explain refusals, for the report. */
  default String notes() {
    return "";
  }
}
