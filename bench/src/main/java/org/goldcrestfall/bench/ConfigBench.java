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
 * Measures the time until the last router has a new revision, and the bytes and processor time that
 * membership, configuration and upstreams cost each router, as the number of routers grows.
 */
public final class ConfigBench {

  private static final OperatingSystemMXBean SYSTEM =
      ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
  private static final long MAX_MICROS = 60_000_000;
  private static final int MAX_PAUSE_MILLIS = 1000;

  private ConfigBench() {}

  /** Cost for one router: bytes and frames sent, and microseconds of processor, a second each. */
  private record Cost(double bytes, double frames, double cpuMicros) {}

  private record Result(int routers, Histogram last, Cost idle, Cost busy, double routable) {}

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
      fleet.awaitAgreement();
      SplittableRandom random = new SplittableRandom(options.seed);
      Histogram last = new Histogram(MAX_MICROS, 3);
      for (int i = 0; i < options.changes; i++) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        last.recordValue(fleet.change());
      }
      Meter idle = new Meter(fleet, routers);
      TimeUnit.SECONDS.sleep(options.seconds);
      final Cost idleCost = idle.stop();
      fleet.announce(options.upstreams, 5);
      Meter busy = new Meter(fleet, routers);
      fleet.announce(options.upstreams, options.seconds);
      return new Result(routers, last, idleCost, busy.stop(), fleet.routable());
    }
  }

  private static final class Meter {
    private final BenchFleet fleet;
    private final int routers;
    private final long startedAt = System.nanoTime();
    private final long bytes;
    private final long frames;
    private final long cpu = SYSTEM.getProcessCpuTime();

    Meter(BenchFleet fleet, int routers) {
      this.fleet = fleet;
      this.routers = routers;
      bytes = fleet.sentBytes();
      frames = fleet.sentFrames();
    }

    Cost stop() {
      double seconds = (System.nanoTime() - startedAt) / 1e9 * routers;
      return new Cost(
          (fleet.sentBytes() - bytes) / seconds,
          (fleet.sentFrames() - frames) / seconds,
          (SYSTEM.getProcessCpuTime() - cpu) / 1e3 / seconds);
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
          r.last().getValueAtPercentile(50) / 1e3,
          r.last().getValueAtPercentile(99) / 1e3,
          r.last().getMaxValue() / 1e3,
          r.idle().bytes(),
          r.idle().frames(),
          r.idle().cpuMicros(),
          r.busy().bytes(),
          r.busy().frames(),
          r.busy().cpuMicros(),
          r.routable());
    }
    Result a = results.get(0);
    Result b = results.get(results.size() - 1);
    int more = Math.max(1, b.routers() - a.routers());
    System.out.printf(
        "slope for one more router: idle %.1f bytes, %.2f us; with upstreams %.1f bytes, %.2f us%n",
        (b.idle().bytes() - a.idle().bytes()) / more,
        (b.idle().cpuMicros() - a.idle().cpuMicros()) / more,
        (b.busy().bytes() - a.busy().bytes()) / more,
        (b.busy().cpuMicros() - a.busy().cpuMicros()) / more);
  }
}
