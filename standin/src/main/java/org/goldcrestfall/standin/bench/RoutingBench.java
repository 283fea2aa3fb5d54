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
 * Time to first token and prefix hits of the routing policies on the same traces, without
 * admission. Ratios are against random choice.
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
        double random = runs.get("random").firstTokenMillis.get(c).getValueAtPercentile(99);
        runs.forEach((name, m) -> print(load, c, name, m, random));
      }
    }
  }

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
      double load, BenchPatienceClass patience, String name, Measurements run, double random) {
    Histogram h = run.firstTokenMillis.get(patience);
    System.out.printf(
        "%-5.2f %-8s %-16s %7d %7d %7d %6.2f %5.1f%% %5.1f%%%n",
        load,
        patience,
        name,
        h.getValueAtPercentile(50),
        h.getValueAtPercentile(95),
        h.getValueAtPercentile(99),
        h.getValueAtPercentile(99) / random,
        100.0 * run.cachedTokens / run.promptTokens,
        100.0 * run.missedDeadlines.get(patience) / Math.max(1, run.offered.get(patience)));
  }
}
