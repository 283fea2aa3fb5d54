package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.routing.CacheEvent;
import org.goldcrestfall.core.routing.Router;
import org.goldcrestfall.core.routing.RouterSettings;
import org.goldcrestfall.core.routing.RoutingPolicy;

/**
 * One run of a trace over several routers that share engines. Engines report every second; a report
 * reaches each router up to 500 ms later, and one report in ten loses its cache events.
 */
final class FleetRun {

  private static final long REPORT_MILLIS = 1_000;
  private static final int MAX_DELAY_MILLIS = 500;
  private static final double LOST_EVENTS = 0.1;
  private static final long TICK_MILLIS = 50;

  private final BenchOptions options;
  private final Simulation simulation = new Simulation();
  private final List<EngineModel> engines = new ArrayList<>();
  private final List<RouterModel> routers = new ArrayList<>();
  private final UniformRandomProvider random;

  private FleetRun(BenchOptions options) {
    this.options = options;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed);
  }

  /** Runs {@code trace} with the policy of each router from {@code policy}. */
  static Measurements run(
      BenchOptions options,
      List<BenchRequest> trace,
      Supplier<RoutingPolicy> policy,
      boolean admission) {
    return new FleetRun(options).simulate(trace, policy, admission, true);
  }

  /**
   * Returns the capacity in requests a second: the rate of first tokens of saturated engines that
   * ignore priorities, so that the mix of classes is that of the trace.
   */
  static double capacity(BenchOptions options, Supplier<RoutingPolicy> policy) {
    List<BenchRequest> trace = options.trace(100);
    Measurements m = new FleetRun(options).simulate(trace, policy, false, false);
    return m.firstTokens * 1_000.0 / (options.millis() - options.warmUpMillis());
  }

  private Measurements simulate(
      List<BenchRequest> trace,
      Supplier<RoutingPolicy> policy,
      boolean admission,
      boolean priorities) {
    Measurements measurements = new Measurements(options.warmUpMillis());
    for (int i = 0; i < options.engines; i++) {
      engines.add(new EngineModel(simulation, priorities));
    }
    for (int i = 0; i < options.routers; i++) {
      Router router =
          new Router(
              "router" + i,
              "zone-" + i % 3,
              RouterSettings.DEFAULTS,
              policy.get(),
              options.seed + i);
      routers.add(
          new RouterModel(simulation, engines, router, admission, options.routers, measurements));
    }
    for (int i = 0; i < options.engines; i++) {
      int engine = i;
      simulation.at(random.nextLong(REPORT_MILLIS), () -> report(engine));
    }
    for (RouterModel r : routers) {
      simulation.at(random.nextLong(TICK_MILLIS), () -> tick(r));
    }
    for (BenchRequest r : trace) {
      simulation.at(
          r.arrivalMillis(),
          () -> {
            measurements.onArrival(r);
            routers.get(r.router()).onArrival(r);
          });
    }
    // Work that was accepted near the end of the trace is given time to finish.
    simulation.run(options.millis() + (admission ? 120_000 : 0));
    for (EngineModel e : engines) {
      measurements.promptTokens += e.promptTokens;
      measurements.cachedTokens += e.cachedTokens;
    }
    return measurements;
  }

  private void report(int engine) {
    EngineModel e = engines.get(engine);
    int running = e.running();
    int waiting = e.waiting();
    long now = simulation.now();
    List<CacheEvent> events = e.takeEvents();
    for (RouterModel r : routers) {
      List<CacheEvent> arriving = random.nextDouble() < LOST_EVENTS ? List.of() : events;
      simulation.after(
          random.nextInt(MAX_DELAY_MILLIS),
          () -> r.onReport(engine, running, waiting, now, arriving));
    }
    simulation.after(REPORT_MILLIS, () -> report(engine));
  }

  private void tick(RouterModel router) {
    router.tick();
    simulation.after(TICK_MILLIS, () -> tick(router));
  }
}
