package org.goldcrestfall.standin.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.goldcrestfall.core.routing.RoutingPolicy;

/**
 * Time to first token and refusals by patience class with admission, on the same traces. A false
 * refusal is one above the number that an oracle refuses.
 */
public final class PatienceBench {

  private PatienceBench() {}

  /** Runs the benchmark and prints one table. */
  public static void main(String[] args) {
    BenchOptions options = BenchOptions.parse("patience", args);
    if (options == null) {
      return;
    }
    Map<String, Supplier<RoutingPolicy>> policies = RoutingBench.policies();
    double capacity = TraceSimulation.requestCapacityPerSecond(options, policies.get("random"));
    // The oracle also knows all caches, so it has the larger capacity of the scored policy.
    double oracleCapacity =
        TraceSimulation.requestCapacityPerSecond(options, policies.get("scored"));
    System.out.printf(
        "seed %d, %d routers, %d engines, capacity %.1f requests/s, of the oracle %.1f%n",
        options.seed, options.routers, options.engines, capacity, oracleCapacity);
    System.out.printf(
        "%-5s %-8s %-16s %7s %7s %7s %6s %8s %7s %7s %7s%n",
        "load", "class", "policy", "p50", "p95", "p99", "p99/r", "refused", "oracle", "false",
        "late");
    for (double load : options.loads) {
      List<BenchRequest> trace = options.trace(load * capacity);
      Set<String> served =
          OracleScheduler.servedIds(trace, options.engines * EngineModel.SLOTS, oracleCapacity);
      Map<String, Measurements> runs = new LinkedHashMap<>();
      for (String name : List.of("random", "least-load", "scored")) {
        Supplier<RoutingPolicy> policy = policies.get(name);
        runs.put(name, TraceSimulation.run(options, trace, policy, true));
      }
      for (BenchPatienceClass c : BenchPatienceClass.values()) {
        double random = runs.get("random").firstTokenMillis.get(c).getValueAtPercentile(99);
        runs.forEach((name, m) -> print(load, c, name, m, random, trace, served));
      }
      runs.forEach((name, m) -> System.out.printf("%-5.2f %s %s%n", load, name, m.refusalsByKind));
    }
  }

  private static void print(
      double load,
      BenchPatienceClass patience,
      String name,
      Measurements run,
      double random,
      List<BenchRequest> trace,
      Set<String> served) {
    Histogram h = run.firstTokenMillis.get(patience);
    double offered = Math.max(1, run.offered.get(patience));
    int refused = 0;
    int oracle = 0;
    for (BenchRequest r : trace) {
      if (r.patienceClass() == patience && run.isMeasured(r)) {
        refused += run.refusedIds.contains(r.id()) ? 1 : 0;
        oracle += served.contains(r.id()) ? 0 : 1;
      }
    }
    System.out.printf(
        "%-5.2f %-8s %-16s %7d %7d %7d %6.2f %7.2f%% %6.2f%% %6.2f%% %6.2f%%%n",
        load,
        patience,
        name,
        h.getValueAtPercentile(50),
        h.getValueAtPercentile(95),
        h.getValueAtPercentile(99),
        h.getValueAtPercentile(99) / random,
        100 * refused / offered,
        100 * oracle / offered,
        100 * Math.max(0, refused - oracle) / offered,
        100 * run.missedDeadlines.get(patience) / offered);
  }
}
