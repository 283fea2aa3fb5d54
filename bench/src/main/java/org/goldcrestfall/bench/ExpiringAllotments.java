package org.goldcrestfall.bench;

import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;

/**
 * Baseline: routers draw allotments of a few seconds of demand that expire after a minute unless
 * they are renewed. What was granted and not reported as used returns to the budget on expiry, so
 * the allotment of a dead router is not lost, but neither is the use of a router that is cut off
 * known.
 */
final class ExpiringAllotments implements BudgetPolicy {

  private static final long EXPIRY_MILLIS = 60_000;
  private static final long GRANT_TOKENS = 40_000;

  private final EventLoop loop;
  private final long[] unallotted = new long[BudgetTrace.WORKSPACES];
  private final Lease[][] leases = new Lease[BudgetTrace.ROUTERS][BudgetTrace.WORKSPACES];
  private final long[][] unreported = new long[BudgetTrace.ROUTERS][BudgetTrace.WORKSPACES];
  private final boolean[] cut = new boolean[BudgetTrace.ROUTERS];

  private static final class Lease {
    long granted;
    long held;
    long expiresMillis;
  }

  ExpiringAllotments(EventLoop loop) {
    this.loop = loop;
    loop.after(1_000, this::tick);
  }

  private void tick() {
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
        Lease l = leases[i][w];
        if (l != null && loop.now() >= l.expiresMillis) {
          // The group takes back what it has not seen used.
          unallotted[w] += l.granted;
          leases[i][w] = null;
        } else if (l != null && !cut[i]) {
          report(i, w, l);
          l.expiresMillis = loop.now() + EXPIRY_MILLIS;
        }
      }
    }
    loop.after(1_000, this::tick);
  }

  private void report(int router, int w, Lease l) {
    l.granted -= unreported[router][w];
    unreported[router][w] = 0;
  }

  @Override
  public void request(int router, Request r, Consumer<Boolean> decision) {
    int w = r.workspace();
    Lease l = leases[router][w];
    if ((l == null || l.held < r.worstCase()) && !cut[router]) {
      l = l == null ? new Lease() : l;
      long tokens = Math.min(unallotted[w], Math.max(GRANT_TOKENS, r.worstCase()));
      unallotted[w] -= tokens;
      l.granted += tokens;
      l.held += tokens;
      l.expiresMillis = loop.now() + EXPIRY_MILLIS;
      leases[router][w] = l;
    }
    boolean serve = l != null && loop.now() < l.expiresMillis && l.held >= r.worstCase();
    if (serve) {
      l.held -= r.worstCase();
    }
    decision.accept(serve);
  }

  @Override
  public void end(int router, Request r) {
    int w = r.workspace();
    Lease l = leases[router][w];
    if (l != null) {
      l.held += r.worstCase() - r.used();
      unreported[router][w] += r.used();
    }
  }

  @Override
  public void topUp(TopUp t) {
    unallotted[t.workspace()] += t.tokens();
  }

  @Override
  public void crash(int router) {
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      unreported[router][w] = 0;
      if (leases[router][w] != null) {
        leases[router][w].held = 0;
      }
    }
  }

  @Override
  public void restart(int router) {}

  @Override
  public void cut(int router, boolean isCut) {
    cut[router] = isCut;
  }
}
