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
 * Simulates one trace on several routers that share engines. Each engine reports its load and cache
 * events every second. A report reaches each router up to 500 ms later, and one report in ten loses
 * its cache events.
 */
final class TraceSimulation {

  private static final long REPORT_INTERVAL_MILLIS = 1_000;
  private static final int MAX_REPORT_DELAY_MILLIS = 500;
  private static final double EVENT_LOSS_PROBABILITY = 0.1;
  private static final long TICK_INTERVAL_MILLIS = 50;

  private final BenchOptions options;
  private final Simulation simulation = new Simulation();
  private final List<EngineModel> engines = new ArrayList<>();
  private final List<RouterModel> routers = new ArrayList<>();
  private final UniformRandomProvider random;

  private TraceSimulation(BenchOptions options) {
    this.options = options;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed);
  }

  /**
   * Simulates {@code trace} on engines that admit by priority.
   *
   * @param policy supplies the routing policy of each router
   * @param admission whether routers queue and refuse requests, or dispatch them on arrival
   */
  static Measurements run(
      BenchOptions options,
      List<BenchRequest> trace,
      Supplier<RoutingPolicy> policy,
      boolean admission) {
    return new TraceSimulation(options).simulate(trace, policy, admission, true);
  }

  /**
   * Returns the capacity in requests per second, measured as the rate of first tokens of saturated
   * engines. The engines ignore priorities, so that the mix of served classes is that of the trace.
   */
  static double requestCapacityPerSecond(BenchOptions options, Supplier<RoutingPolicy> policy) {
    List<BenchRequest> trace = options.trace(100);
    Measurements measurements = new TraceSimulation(options).simulate(trace, policy, false, false);
    return measurements.firstTokens * 1_000.0 / (options.traceMillis() - options.warmUpMillis());
  }

  private Measurements simulate(
      List<BenchRequest> trace,
      Supplier<RoutingPolicy> policy,
      boolean admission,
      boolean usePriorities) {
    Measurements measurements = new Measurements(options.warmUpMillis());
    for (int i = 0; i < options.engines; i++) {
      engines.add(new EngineModel(simulation, usePriorities));
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
      int engineIndex = i;
      simulation.scheduleAt(random.nextLong(REPORT_INTERVAL_MILLIS), () -> sendReport(engineIndex));
    }
    for (RouterModel r : routers) {
      simulation.scheduleAt(random.nextLong(TICK_INTERVAL_MILLIS), () -> tick(r));
    }
    for (BenchRequest r : trace) {
      simulation.scheduleAt(
          r.arrivalMillis(),
          () -> {
            measurements.onArrival(r);
            routers.get(r.routerIndex()).onArrival(r);
          });
    }
    // With admission, requests that are accepted near the end of the trace get time to finish.
    simulation.run(options.traceMillis() + (admission ? 120_000 : 0));
    for (EngineModel e : engines) {
      measurements.promptTokens += e.promptTokens;
      measurements.cachedTokens += e.cachedTokens;
    }
    return measurements;
  }

  private void sendReport(int engineIndex) {
    EngineModel e = engines.get(engineIndex);
    int running = e.running();
    int waiting = e.waiting();
    long now = simulation.now();
    List<CacheEvent> events = e.drainEvents();
    for (RouterModel r : routers) {
      List<CacheEvent> receivedEvents =
          random.nextDouble() < EVENT_LOSS_PROBABILITY ? List.of() : events;
      simulation.scheduleAfter(
          random.nextInt(MAX_REPORT_DELAY_MILLIS),
          () -> r.onReport(engineIndex, running, waiting, now, receivedEvents));
    }
    simulation.scheduleAfter(REPORT_INTERVAL_MILLIS, () -> sendReport(engineIndex));
  }

  private void tick(RouterModel router) {
    router.tick();
    simulation.scheduleAfter(TICK_INTERVAL_MILLIS, () -> tick(router));
  }
}
