package org.goldcrestfall.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;

/**
 * Baseline: each top-up is split evenly over the routers at once and never moves again. A router
 * that is cut off gets its part when it is back; a router that dies without a disk loses its part.
 */
final class StaticSplit implements BudgetPolicy {

  private final long[][] left = new long[BudgetTrace.ROUTERS][BudgetTrace.WORKSPACES];
  private final boolean[] cut = new boolean[BudgetTrace.ROUTERS];
  private final List<List<TopUp>> waiting = new ArrayList<>();

  StaticSplit() {
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      waiting.add(new ArrayList<>());
    }
  }

  @Override
  public void request(int router, Request r, Consumer<Boolean> decision) {
    boolean serve = left[router][r.workspace()] >= r.worstCase();
    if (serve) {
      left[router][r.workspace()] -= r.worstCase();
    }
    decision.accept(serve);
  }

  @Override
  public void end(int router, Request r) {
    left[router][r.workspace()] += r.worstCase() - r.used();
  }

  @Override
  public void topUp(TopUp t) {
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      if (cut[i]) {
        waiting.get(i).add(t);
      } else {
        left[i][t.workspace()] += t.tokens() / BudgetTrace.ROUTERS;
      }
    }
  }

  @Override
  public void crash(int router) {
    if (router >= BudgetTrace.ROUTERS_WITH_DISK) {
      left[router] = new long[BudgetTrace.WORKSPACES];
    }
  }

  @Override
  public void restart(int router) {}

  @Override
  public void cut(int router, boolean isCut) {
    cut[router] = isCut;
    if (!isCut) {
      waiting
          .get(router)
          .forEach(t -> left[router][t.workspace()] += t.tokens() / BudgetTrace.ROUTERS);
      waiting.get(router).clear();
    }
  }
}
