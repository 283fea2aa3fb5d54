package org.goldcrestfall.standin.bench;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.goldcrestfall.core.routing.AffinityPolicy;
import org.goldcrestfall.core.routing.LeastLoadPolicy;
import org.goldcrestfall.core.routing.RandomPolicy;
import org.goldcrestfall.core.routing.RouterSettings;
import org.goldcrestfall.core.routing.RouterSettings.Factor;
import org.goldcrestfall.core.routing.RoutingPolicy;

/**
 * Compares the routing policies without admission control on the same traces, by time to first
 * token and cached share of the prompt tokens. The column {@code p99/r} is the ratio to random
 * choice.
 */
public final class RoutingBench {

  private RoutingBench() {}

  /** Runs the benchmark and prints one table. */
  public static void main(String[] args) {
    BenchOptions options = BenchOptions.parse("routing", args);
    if (options == null) {
      return;
    }
    double capacity = TraceSimulation.requestCapacityPerSecond(options, RandomPolicy::new);
    System.out.printf(
        "seed %d, %d routers, %d engines, capacity %.1f requests/s%n",
        options.seed, options.routers, options.engines, capacity);
    System.out.printf(
        "%-5s %-8s %-16s %7s %7s %7s %6s %6s %6s%n",
        "load", "class", "policy", "p50", "p95", "p99", "p99/r", "hits", "late");
    for (double load : options.loads) {
      List<BenchRequest> trace = options.trace(load * capacity);
      Map<String, Measurements> runs = new LinkedHashMap<>();
      policies().forEach((n, p) -> runs.put(n, TraceSimulation.run(options, trace, p, false)));
      for (BenchPatienceClass c : BenchPatienceClass.values()) {
        double randomP99 = runs.get("random").firstTokenMillis.get(c).getValueAtPercentile(99);
        runs.forEach((name, m) -> print(load, c, name, m, randomP99));
      }
    }
  }

  /** Returns the policies by the names under which they are printed. */
  static Map<String, Supplier<RoutingPolicy>> policies() {
    RouterSettings settings = RouterSettings.DEFAULTS;
    Map<String, Supplier<RoutingPolicy>> policies = new LinkedHashMap<>();
    policies.put("random", RandomPolicy::new);
    policies.put("least-load", LeastLoadPolicy::new);
    policies.put("affinity", AffinityPolicy::new);
    policies.put("scored", () -> settings.policy(EnumSet.allOf(Factor.class)));
    policies.put(
        "scored-no-prefix",
        () -> settings.policy(EnumSet.complementOf(EnumSet.of(Factor.SAVED_PREFILL))));
    return policies;
  }

  private static void print(
      double load,
      BenchPatienceClass patienceClass,
      String policy,
      Measurements run,
      double randomP99) {
    Histogram firstTokenMillis = run.firstTokenMillis.get(patienceClass);
    System.out.printf(
        "%-5.2f %-8s %-16s %7d %7d %7d %6.2f %5.1f%% %5.1f%%%n",
        load,
        patienceClass,
        policy,
        firstTokenMillis.getValueAtPercentile(50),
        firstTokenMillis.getValueAtPercentile(95),
        firstTokenMillis.getValueAtPercentile(99),
        firstTokenMillis.getValueAtPercentile(99) / randomP99,
        100.0 * run.cachedTokens / run.promptTokens,
        100.0
            * run.missedDeadlines.get(patienceClass)
            / Math.max(1, run.offered.get(patienceClass)));
  }
}
