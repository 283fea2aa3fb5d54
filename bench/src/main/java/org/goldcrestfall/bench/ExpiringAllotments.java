package org.goldcrestfall.bench;

import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;

/**
 * A baseline in which routers hold allotments of a few seconds of demand that expire after a minute
 * unless they are renewed. On expiry, the tokens not reported as used return to the budget. The
 * allotment of a crashed router is therefore not lost, but the use of a router that is cut off from
 * the control group is unknown when its allotment expires.
 */
final class ExpiringAllotments implements BudgetPolicy {

  private static final long EXPIRY_MILLIS = 60_000;
  private static final long GRANT_TOKENS = 40_000;

  private final SimulatedEventLoop loop;
  private final long[] unallotted = new long[BudgetTrace.WORKSPACES];
  private final Allotment[][] allotments =
      new Allotment[BudgetTrace.ROUTERS][BudgetTrace.WORKSPACES];
  private final long[][] unreportedUse = new long[BudgetTrace.ROUTERS][BudgetTrace.WORKSPACES];
  private final boolean[] partitioned = new boolean[BudgetTrace.ROUTERS];

  /** The allotment of one workspace at one router. */
  private static final class Allotment {
    long grantedTokens;
    long availableTokens;
    long expiresAtMillis;
  }

  ExpiringAllotments(SimulatedEventLoop loop) {
    this.loop = loop;
    loop.scheduleAfter(1_000, this::tick);
  }

  private void tick() {
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
        Allotment allotment = allotments[i][w];
        if (allotment != null && loop.nowMillis() >= allotment.expiresAtMillis) {
          // The control group takes back all tokens that were not reported as used.
          unallotted[w] += allotment.grantedTokens;
          allotments[i][w] = null;
        } else if (allotment != null && !partitioned[i]) {
          reportUse(i, w, allotment);
          allotment.expiresAtMillis = loop.nowMillis() + EXPIRY_MILLIS;
        }
      }
    }
    loop.scheduleAfter(1_000, this::tick);
  }

  private void reportUse(int router, int w, Allotment allotment) {
    allotment.grantedTokens -= unreportedUse[router][w];
    unreportedUse[router][w] = 0;
  }

  @Override
  public void startRequest(int router, Request r, Consumer<Boolean> decision) {
    int w = r.workspace();
    Allotment allotment = allotments[router][w];
    if ((allotment == null || allotment.availableTokens < r.worstCase()) && !partitioned[router]) {
      allotment = allotment == null ? new Allotment() : allotment;
      long tokens = Math.min(unallotted[w], Math.max(GRANT_TOKENS, r.worstCase()));
      unallotted[w] -= tokens;
      allotment.grantedTokens += tokens;
      allotment.availableTokens += tokens;
      allotment.expiresAtMillis = loop.nowMillis() + EXPIRY_MILLIS;
      allotments[router][w] = allotment;
    }
    boolean serve =
        allotment != null
            && loop.nowMillis() < allotment.expiresAtMillis
            && allotment.availableTokens >= r.worstCase();
    if (serve) {
      allotment.availableTokens -= r.worstCase();
    }
    decision.accept(serve);
  }

  @Override
  public void finishRequest(int router, Request r) {
    int w = r.workspace();
    Allotment allotment = allotments[router][w];
    if (allotment != null) {
      allotment.availableTokens += r.worstCase() - r.used();
      unreportedUse[router][w] += r.used();
    }
  }

  @Override
  public void topUp(TopUp t) {
    unallotted[t.workspace()] += t.tokens();
  }

  @Override
  public void crash(int router) {
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      unreportedUse[router][w] = 0;
      if (allotments[router][w] != null) {
        allotments[router][w].availableTokens = 0;
      }
    }
  }

  @Override
  public void restart(int router) {}

  @Override
  public void setPartitioned(int router, boolean isPartitioned) {
    partitioned[router] = isPartitioned;
  }
}
