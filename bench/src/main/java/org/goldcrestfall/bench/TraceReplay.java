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
 * Replays a trace through a policy and compares its decisions with an oracle. The oracle knows the
 * real cost of each request and serves it, in the order of arrival, if the tokens paid in so far
 * cover it. A request whose router dies is sent again to another router at once.
 */
final class TraceReplay {

  private static final long SETTLE_MILLIS = 60_000;

  private final BudgetTrace trace;
  private final EventLoop loop = new EventLoop();
  private final BudgetPolicy policy;
  private final boolean[] dead = new boolean[BudgetTrace.ROUTERS];
  private final List<Map<Integer, Request>> running = new ArrayList<>();
  private final boolean[] oracleServes;
  private final boolean[] refused;
  private final long[] paidIn = new long[BudgetTrace.WORKSPACES];
  private final long[] delivered = new long[BudgetTrace.WORKSPACES];
  private final long[] overspent = new long[BudgetTrace.WORKSPACES];

  TraceReplay(BudgetTrace trace, Function<EventLoop, BudgetPolicy> policy) {
    this.trace = trace;
    this.policy = policy.apply(loop);
    oracleServes = oracle(trace);
    refused = new boolean[trace.requests().size()];
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      running.add(new HashMap<>());
    }
  }

  /** What a policy did; false refusals by workspace, and by their time in minutes. */
  record Result(
      long requests,
      long oracleServed,
      long overspentTokens,
      long[] unspent,
      long falseRefusals,
      long[] byWorkspace,
      long[] byMinute,
      long onCutRouters,
      String notes) {

    double falseRefusalPercent() {
      return 100.0 * falseRefusals / oracleServed;
    }
  }

  static boolean[] oracle(BudgetTrace trace) {
    boolean[] serves = new boolean[trace.requests().size()];
    long[] left = new long[BudgetTrace.WORKSPACES];
    int t = 0;
    for (Request r : trace.requests()) {
      while (t < trace.topUps().size() && trace.topUps().get(t).atMillis() <= r.atMillis()) {
        TopUp u = trace.topUps().get(t);
        left[u.workspace()] += u.tokens();
        t++;
      }
      if (r.used() <= left[r.workspace()]) {
        left[r.workspace()] -= r.used();
        serves[r.id()] = true;
      }
    }
    return serves;
  }

  Result run() {
    for (TopUp t : trace.topUps()) {
      loop.at(
          t.atMillis(),
          () -> {
            paidIn[t.workspace()] += t.tokens();
            policy.topUp(t);
          });
    }
    for (int router : trace.partition().routers()) {
      loop.at(trace.partition().startMillis(), () -> policy.cut(router, true));
      loop.at(trace.partition().endMillis(), () -> policy.cut(router, false));
    }
    for (Crash c : trace.crashes()) {
      loop.at(c.atMillis(), () -> crash(c.router()));
      loop.at(
          c.restartMillis(),
          () -> {
            dead[c.router()] = false;
            policy.restart(c.router());
          });
    }
    for (Request r : trace.requests()) {
      loop.at(r.atMillis(), () -> request(r));
    }
    loop.run(BudgetTrace.LENGTH_MILLIS + SETTLE_MILLIS);
    return result();
  }

  private void request(Request r) {
    int router = r.router();
    while (dead[router] || !policy.isReady(router)) {
      router = (router + 1) % BudgetTrace.ROUTERS;
    }
    final int chosen = router;
    policy.request(
        chosen,
        r,
        serve -> {
          if (!serve) {
            refused[r.id()] = true;
            return;
          }
          running.get(chosen).put(r.id(), r);
          loop.after(r.durationMillis(), () -> end(chosen, r));
        });
  }

  private void end(int router, Request r) {
    if (running.get(router).remove(r.id()) == null) {
      return;
    }
    policy.end(router, r);
    int w = r.workspace();
    delivered[w] += r.used();
    overspent[w] = Math.max(overspent[w], delivered[w] - paidIn[w]);
  }

  private void crash(int router) {
    dead[router] = true;
    List<Request> lost = new ArrayList<>(running.get(router).values());
    running.get(router).clear();
    policy.crash(router);
    for (Request r : lost) {
      request(r);
    }
  }

  private Result result() {
    long served = 0;
    long falseRefusals = 0;
    long[] byWorkspace = new long[BudgetTrace.WORKSPACES];
    long[] byMinute = new long[(int) (BudgetTrace.LENGTH_MILLIS / 60_000) + 1];
    long onCut = 0;
    for (Request r : trace.requests()) {
      if (oracleServes[r.id()]) {
        served++;
        if (refused[r.id()]) {
          falseRefusals++;
          byWorkspace[r.workspace()]++;
          byMinute[(int) (r.atMillis() / 60_000)]++;
          onCut += trace.partition().routers().contains(r.router()) ? 1 : 0;
        }
      }
    }
    long sum = 0;
    long[] unspent = new long[BudgetTrace.WORKSPACES];
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      sum += overspent[w];
      unspent[w] = paidIn[w] - delivered[w];
    }
    return new Result(
        trace.requests().size(),
        served,
        sum,
        unspent,
        falseRefusals,
        byWorkspace,
        byMinute,
        onCut,
        policy.notes());
  }
}
