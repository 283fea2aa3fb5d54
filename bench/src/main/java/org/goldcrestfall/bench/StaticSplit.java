package org.goldcrestfall.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;

/**
 * A baseline that splits each top-up evenly over the routers and never moves tokens between them. A
 * router that is cut off receives its part when it is connected again. A router without a disk
 * loses its part when it crashes.
 */
final class StaticSplit implements BudgetPolicy {

  private final long[][] remaining = new long[BudgetTrace.ROUTERS][BudgetTrace.WORKSPACES];
  private final boolean[] partitioned = new boolean[BudgetTrace.ROUTERS];
  private final List<List<TopUp>> deferredTopUps = new ArrayList<>();

  StaticSplit() {
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      deferredTopUps.add(new ArrayList<>());
    }
  }

  @Override
  public void startRequest(int router, Request r, Consumer<Boolean> decision) {
    boolean serve = remaining[router][r.workspace()] >= r.worstCase();
    if (serve) {
      remaining[router][r.workspace()] -= r.worstCase();
    }
    decision.accept(serve);
  }

  @Override
  public void finishRequest(int router, Request r) {
    remaining[router][r.workspace()] += r.worstCase() - r.used();
  }

  @Override
  public void topUp(TopUp t) {
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      if (partitioned[i]) {
        deferredTopUps.get(i).add(t);
      } else {
        remaining[i][t.workspace()] += t.tokens() / BudgetTrace.ROUTERS;
      }
    }
  }

  @Override
  public void crash(int router) {
    if (router >= BudgetTrace.ROUTERS_WITH_DISK) {
      remaining[router] = new long[BudgetTrace.WORKSPACES];
    }
  }

  @Override
  public void restart(int router) {}

  @Override
  public void setPartitioned(int router, boolean isPartitioned) {
    partitioned[router] = isPartitioned;
    if (!isPartitioned) {
      deferredTopUps
          .get(router)
          .forEach(t -> remaining[router][t.workspace()] += t.tokens() / BudgetTrace.ROUTERS);
      deferredTopUps.get(router).clear();
    }
  }
}
