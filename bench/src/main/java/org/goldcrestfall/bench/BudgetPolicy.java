package org.goldcrestfall.bench;

import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;

/** A policy by which the routers of a replayed trace share the budgets. */
interface BudgetPolicy {

  /**
   * Decides whether a router serves a request. The policy passes the decision to {@code decision},
   * during this call or later.
   */
  void startRequest(int router, Request request, Consumer<Boolean> decision);

  /** Settles a request that the router has served to its end. */
  void finishRequest(int router, Request request);

  /** Adds tokens to the budget of a workspace. */
  void topUp(TopUp topUp);

  /** Stops a router process without a shutdown; it loses its memory. */
  void crash(int router);

  /** Starts a crashed router again. */
  void restart(int router);

  /** Cuts a router off from the control group, or reconnects it. */
  void setPartitioned(int router, boolean partitioned);

  /** Returns whether the load balancer sends requests to a router that has not crashed. */
  default boolean isReady(int router) {
    return true;
  }

  /** Returns lines for the report that help to explain refusals. */
  default String diagnostics() {
    return "";
  }
}
