package org.goldcrestfall.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.goldcrestfall.bench.BudgetTrace.Crash;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;

/**
 * Replays a trace with a policy and compares the policy's decisions with those of an oracle. The
 * oracle knows the actual use of each request and serves requests in the order of arrival as long
 * as the tokens paid in so far cover them. A request whose router crashes is sent again to another
 * router at once.
 */
final class TraceReplay {

  /** Time after the end of the trace in which running requests complete. */
  private static final long COMPLETION_MILLIS = 60_000;

  private final BudgetTrace trace;
  private final SimulatedEventLoop loop = new SimulatedEventLoop();
  private final BudgetPolicy policy;
  private final boolean[] crashed = new boolean[BudgetTrace.ROUTERS];
  private final List<Map<Integer, Request>> running = new ArrayList<>();
  private final boolean[] oracleServes;
  private final boolean[] refused;
  private final long[] paidIn = new long[BudgetTrace.WORKSPACES];
  private final long[] spent = new long[BudgetTrace.WORKSPACES];
  private final long[] overspent = new long[BudgetTrace.WORKSPACES];

  TraceReplay(BudgetTrace trace, Function<SimulatedEventLoop, BudgetPolicy> policy) {
    this.trace = trace;
    this.policy = policy.apply(loop);
    oracleServes = oracle(trace);
    refused = new boolean[trace.requests().size()];
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      running.add(new HashMap<>());
    }
  }

  /**
   * The outcome of a replay. A false refusal is a refusal of a request that the oracle serves; the
   * array by minute counts them by the minute of their arrival.
   */
  record Result(
      long requests,
      long oracleServed,
      long overspentTokens,
      long[] unspentTokens,
      long falseRefusals,
      long[] falseRefusalsByWorkspace,
      long[] falseRefusalsByMinute,
      long falseRefusalsAtPartitionedRouters,
      String diagnostics) {

    double falseRefusalPercent() {
      return 100.0 * falseRefusals / oracleServed;
    }
  }

  /** Returns, by request id, whether the oracle serves the request. */
  static boolean[] oracle(BudgetTrace trace) {
    boolean[] serves = new boolean[trace.requests().size()];
    long[] remaining = new long[BudgetTrace.WORKSPACES];
    int nextTopUp = 0;
    for (Request r : trace.requests()) {
      while (nextTopUp < trace.topUps().size()
          && trace.topUps().get(nextTopUp).atMillis() <= r.atMillis()) {
        TopUp u = trace.topUps().get(nextTopUp);
        remaining[u.workspace()] += u.tokens();
        nextTopUp++;
      }
      if (r.used() <= remaining[r.workspace()]) {
        remaining[r.workspace()] -= r.used();
        serves[r.id()] = true;
      }
    }
    return serves;
  }

  Result run() {
    for (TopUp t : trace.topUps()) {
      loop.scheduleAt(
          t.atMillis(),
          () -> {
            paidIn[t.workspace()] += t.tokens();
            policy.topUp(t);
          });
    }
    for (int router : trace.partition().routers()) {
      loop.scheduleAt(trace.partition().startMillis(), () -> policy.setPartitioned(router, true));
      loop.scheduleAt(trace.partition().endMillis(), () -> policy.setPartitioned(router, false));
    }
    for (Crash c : trace.crashes()) {
      loop.scheduleAt(c.atMillis(), () -> crash(c.router()));
      loop.scheduleAt(
          c.restartMillis(),
          () -> {
            crashed[c.router()] = false;
            policy.restart(c.router());
          });
    }
    for (Request r : trace.requests()) {
      loop.scheduleAt(r.atMillis(), () -> dispatch(r));
    }
    loop.run(BudgetTrace.LENGTH_MILLIS + COMPLETION_MILLIS);
    return result();
  }

  private void dispatch(Request r) {
    int router = r.router();
    while (crashed[router] || !policy.isReady(router)) {
      router = (router + 1) % BudgetTrace.ROUTERS;
    }
    final int chosen = router;
    policy.startRequest(
        chosen,
        r,
        serve -> {
          if (!serve) {
            refused[r.id()] = true;
            return;
          }
          running.get(chosen).put(r.id(), r);
          loop.scheduleAfter(r.durationMillis(), () -> finish(chosen, r));
        });
  }

  private void finish(int router, Request r) {
    if (running.get(router).remove(r.id()) == null) {
      return;
    }
    policy.finishRequest(router, r);
    int w = r.workspace();
    spent[w] += r.used();
    overspent[w] = Math.max(overspent[w], spent[w] - paidIn[w]);
  }

  private void crash(int router) {
    crashed[router] = true;
    List<Request> interrupted = new ArrayList<>(running.get(router).values());
    running.get(router).clear();
    policy.crash(router);
    for (Request r : interrupted) {
      dispatch(r);
    }
  }

  private Result result() {
    long served = 0;
    long falseRefusals = 0;
    long[] byWorkspace = new long[BudgetTrace.WORKSPACES];
    long[] byMinute = new long[(int) (BudgetTrace.LENGTH_MILLIS / 60_000) + 1];
    long atPartitionedRouters = 0;
    for (Request r : trace.requests()) {
      if (oracleServes[r.id()]) {
        served++;
        if (refused[r.id()]) {
          falseRefusals++;
          byWorkspace[r.workspace()]++;
          byMinute[(int) (r.atMillis() / 60_000)]++;
          atPartitionedRouters += trace.partition().routers().contains(r.router()) ? 1 : 0;
        }
      }
    }
    long overspentTokens = 0;
    long[] unspentTokens = new long[BudgetTrace.WORKSPACES];
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      overspentTokens += overspent[w];
      unspentTokens[w] = paidIn[w] - spent[w];
    }
    return new Result(
        trace.requests().size(),
        served,
        overspentTokens,
        unspentTokens,
        falseRefusals,
        byWorkspace,
        byMinute,
        atPartitionedRouters,
        policy.diagnostics());
  }
}
