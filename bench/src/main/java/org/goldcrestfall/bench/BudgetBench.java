package org.goldcrestfall.bench;

import java.util.Arrays;
import java.util.function.Function;
import org.goldcrestfall.core.budget.AllotmentLedger;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.Tradeoff;

/**
 * Compares policies that share prepaid budgets between routers, by replaying a generated trace, and
 * measures the reservations per second of one router. Usage: {@code BudgetBench [SEED]}.
 */
public final class BudgetBench {

  private static final long DEFAULT_SEED = 20261204;
  private static final int RESERVATIONS = 5_000_000;
  private static final int ROUNDS = 5;

  private BudgetBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
    BudgetTrace trace = BudgetTrace.generate(seed);
    System.out.printf(
        "seed %d, trace %s, %d requests, %d routers, %d workspaces%n",
        seed,
        trace.digest().substring(0, 16),
        trace.requests().size(),
        BudgetTrace.ROUTERS,
        BudgetTrace.WORKSPACES);
    replay("static split", trace, loop -> new StaticSplit());
    replay("expiring allotments", trace, ExpiringAllotments::new);
    replay("escrow, STRICT", trace, loop -> new EscrowPolicy(loop, Tradeoff.STRICT));
    replay("escrow, AVAILABLE", trace, loop -> new EscrowPolicy(loop, Tradeoff.AVAILABLE));
    measureReservations();
  }

  private static void replay(
      String name, BudgetTrace trace, Function<SimulatedEventLoop, BudgetPolicy> policy) {
    TraceReplay.Result r = new TraceReplay(trace, policy).run();
    System.out.printf(
        "%s: overspent %d tokens, false refusals %d of %d (%.3f%%), %d at cut-off routers%n",
        name,
        r.overspentTokens(),
        r.falseRefusals(),
        r.oracleServed(),
        r.falseRefusalPercent(),
        r.falseRefusalsAtPartitionedRouters());
    System.out.println("  by workspace " + Arrays.toString(r.falseRefusalsByWorkspace()));
    System.out.println("  tokens left " + Arrays.toString(r.unspentTokens()));
    System.out.println("  by minute " + Arrays.toString(r.falseRefusalsByMinute()));
    System.out.print(r.diagnostics());
  }

  private static void measureReservations() {
    for (int round = 0; round < ROUNDS; round++) {
      AllotmentLedger ledger = new AllotmentLedger(new Incarnation("a1", 1));
      ledger.requestGrant("w0", Long.MAX_VALUE / 4, 0);
      ledger.grantReceived("w0", 1, Long.MAX_VALUE / 4);
      final long start = System.nanoTime();
      for (int i = 0; i < RESERVATIONS; i++) {
        ledger.reserve("w0", 2_000);
        ledger.recordUse("w0", 2_000, 700);
        ledger.charged("w0", 700);
      }
      double seconds = (System.nanoTime() - start) / 1e9;
      System.out.printf(
          "round %d: %.1f million reservations a second, each settled and charged%n",
          round + 1, RESERVATIONS / seconds / 1e6);
    }
  }
}
