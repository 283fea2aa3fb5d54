package org.goldcrestfall.standin.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.goldcrestfall.core.routing.RoutingPolicy;

/**
 * Compares the routing policies with admission control on the same traces, by time to first token
 * and refusals of each patience class. False refusals are those in excess of the number that the
 * {@link OracleScheduler} refuses. The column {@code p99/r} is the ratio to random choice.
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
    // The oracle also knows all caches, so it gets the larger capacity of the scored policy.
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
      Set<String> servedByOracle =
          OracleScheduler.servedIds(trace, options.engines * EngineModel.SLOTS, oracleCapacity);
      Map<String, Measurements> runs = new LinkedHashMap<>();
      for (String name : List.of("random", "least-load", "scored")) {
        Supplier<RoutingPolicy> policy = policies.get(name);
        runs.put(name, TraceSimulation.run(options, trace, policy, true));
      }
      for (BenchPatienceClass c : BenchPatienceClass.values()) {
        double randomP99 = runs.get("random").firstTokenMillis.get(c).getValueAtPercentile(99);
        runs.forEach((name, m) -> print(load, c, name, m, randomP99, trace, servedByOracle));
      }
      runs.forEach((name, m) -> System.out.printf("%-5.2f %s %s%n", load, name, m.refusalsByKind));
    }
  }

  private static void print(
      double load,
      BenchPatienceClass patienceClass,
      String policy,
      Measurements run,
      double randomP99,
      List<BenchRequest> trace,
      Set<String> servedByOracle) {
    Histogram firstTokenMillis = run.firstTokenMillis.get(patienceClass);
    double offered = Math.max(1, run.offered.get(patienceClass));
    int refused = 0;
    int refusedByOracle = 0;
    for (BenchRequest r : trace) {
      if (r.patienceClass() == patienceClass && run.isMeasured(r)) {
        refused += run.refusedIds.contains(r.id()) ? 1 : 0;
        refusedByOracle += servedByOracle.contains(r.id()) ? 0 : 1;
      }
    }
    System.out.printf(
        "%-5.2f %-8s %-16s %7d %7d %7d %6.2f %7.2f%% %6.2f%% %6.2f%% %6.2f%%%n",
        load,
        patienceClass,
        policy,
        firstTokenMillis.getValueAtPercentile(50),
        firstTokenMillis.getValueAtPercentile(95),
        firstTokenMillis.getValueAtPercentile(99),
        firstTokenMillis.getValueAtPercentile(99) / randomP99,
        100 * refused / offered,
        100 * refusedByOracle / offered,
        100 * Math.max(0, refused - refusedByOracle) / offered,
        100 * run.missedDeadlines.get(patienceClass) / offered);
  }
}
