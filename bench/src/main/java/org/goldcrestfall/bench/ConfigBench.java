package org.goldcrestfall.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a new revision of the configuration takes to reach all routers, and how many
 * bytes and how much processor time membership, configuration and upstream announcements cost each
 * router, for several numbers of routers.
 */
public final class ConfigBench {

  private static final OperatingSystemMXBean SYSTEM =
      ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
  private static final long MAX_MICROS = 60_000_000;

  /** Upper bound of the random pause before each change. */
  private static final int MAX_PAUSE_MILLIS = 1000;

  private ConfigBench() {}

  /** The cost per router and second: bytes and frames sent, and processor time. */
  private record Cost(double bytesPerSecond, double framesPerSecond, double cpuMicrosPerSecond) {}

  private record Result(
      int routers,
      Histogram propagationMicros,
      Cost idleCost,
      Cost costWithUpstreams,
      double routableUpstreams) {}

  /** Runs the benchmark and prints one table. */
  public static void main(String[] args) throws IOException, InterruptedException {
    ConfigBenchOptions options = new ConfigBenchOptions();
    JCommander commander = JCommander.newBuilder().programName("config").addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(2);
    }
    if (options.help) {
      commander.usage();
      return;
    }
    Logger.getLogger("").setLevel(Level.WARNING);
    run(options, options.routers.get(0));
    List<Result> results = new ArrayList<>();
    for (int routers : options.routers) {
      results.add(run(options, routers));
    }
    print(options, results);
    System.exit(0);
  }

  private static Result run(ConfigBenchOptions options, int routers)
      throws IOException, InterruptedException {
    try (BenchFleet fleet = new BenchFleet(routers, options.workspaces, options.seed)) {
      fleet.awaitConvergence();
      SplittableRandom random = new SplittableRandom(options.seed);
      Histogram propagationMicros = new Histogram(MAX_MICROS, 3);
      for (int i = 0; i < options.changes; i++) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        propagationMicros.recordValue(fleet.measureChangeMicros());
      }
      CostMeter idleMeter = new CostMeter(fleet, routers);
      TimeUnit.SECONDS.sleep(options.seconds);
      final Cost idleCost = idleMeter.stop();
      fleet.announce(options.upstreams, 5);
      CostMeter upstreamMeter = new CostMeter(fleet, routers);
      fleet.announce(options.upstreams, options.seconds);
      return new Result(
          routers,
          propagationMicros,
          idleCost,
          upstreamMeter.stop(),
          fleet.averageRoutableUpstreams());
    }
  }

  /** Measures the cost per router from its creation until {@link #stop}. */
  private static final class CostMeter {
    private final BenchFleet fleet;
    private final int routers;
    private final long startNanos = System.nanoTime();
    private final long startBytes;
    private final long startFrames;
    private final long startCpuNanos = SYSTEM.getProcessCpuTime();

    CostMeter(BenchFleet fleet, int routers) {
      this.fleet = fleet;
      this.routers = routers;
      startBytes = fleet.sentBytes();
      startFrames = fleet.sentFrames();
    }

    Cost stop() {
      double routerSeconds = (System.nanoTime() - startNanos) / 1e9 * routers;
      return new Cost(
          (fleet.sentBytes() - startBytes) / routerSeconds,
          (fleet.sentFrames() - startFrames) / routerSeconds,
          (SYSTEM.getProcessCpuTime() - startCpuNanos) / 1e3 / routerSeconds);
    }
  }

  private static void print(ConfigBenchOptions options, List<Result> results) {
    System.out.printf(
        "seed %d, %d changes, %d workspaces, %d upstreams; cost a second for one router%n",
        options.seed, options.changes, options.workspaces, options.upstreams);
    System.out.printf(
        "%8s  %24s  %26s  %26s  %8s%n",
        "", "last router has it (ms)", "idle: sent", "with upstreams: sent", "");
    System.out.printf(
        "%8s  %7s %7s %8s  %8s %8s %8s  %8s %8s %8s  %8s%n",
        "routers",
        "p50",
        "p99",
        "max",
        "bytes",
        "frames",
        "cpu us",
        "bytes",
        "frames",
        "cpu us",
        "routable");
    for (Result r : results) {
      System.out.printf(
          "%8d  %7.0f %7.0f %8.0f  %8.0f %8.1f %8.0f  %8.0f %8.1f %8.0f  %8.2f%n",
          r.routers(),
          r.propagationMicros().getValueAtPercentile(50) / 1e3,
          r.propagationMicros().getValueAtPercentile(99) / 1e3,
          r.propagationMicros().getMaxValue() / 1e3,
          r.idleCost().bytesPerSecond(),
          r.idleCost().framesPerSecond(),
          r.idleCost().cpuMicrosPerSecond(),
          r.costWithUpstreams().bytesPerSecond(),
          r.costWithUpstreams().framesPerSecond(),
          r.costWithUpstreams().cpuMicrosPerSecond(),
          r.routableUpstreams());
    }
    Result first = results.get(0);
    Result last = results.get(results.size() - 1);
    int addedRouters = Math.max(1, last.routers() - first.routers());
    System.out.printf(
        "slope for one more router: idle %.1f bytes, %.2f us; with upstreams %.1f bytes, %.2f us%n",
        (last.idleCost().bytesPerSecond() - first.idleCost().bytesPerSecond()) / addedRouters,
        (last.idleCost().cpuMicrosPerSecond() - first.idleCost().cpuMicrosPerSecond())
            / addedRouters,
        (last.costWithUpstreams().bytesPerSecond() - first.costWithUpstreams().bytesPerSecond())
            / addedRouters,
        (last.costWithUpstreams().cpuMicrosPerSecond()
                - first.costWithUpstreams().cpuMicrosPerSecond())
            / addedRouters);
  }
}
