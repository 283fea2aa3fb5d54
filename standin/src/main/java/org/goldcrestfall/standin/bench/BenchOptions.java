package org.goldcrestfall.standin.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.List;

/** Command-line options of the simulated benchmarks. */
final class BenchOptions {

  @Parameter(names = "--seed", description = "Seed of the trace and of every random choice")
  long seed = 1;

  @Parameter(names = "--seconds", description = "Length of the trace; the first 60 s are warm-up")
  long seconds = 660;

  @Parameter(names = "--routers", description = "Routers that share the engines")
  int routers = 5;

  @Parameter(names = "--engines", description = "Modelled engines")
  int engines = 6;

  @Parameter(names = "--loads", description = "Loads as a multiple of capacity")
  List<Double> loads = List.of(0.5, 0.9, 1.1, 1.5);

  @Parameter(names = "--help", help = true, description = "Prints this text")
  boolean help;

  private BenchOptions() {}

  /** Parses the arguments; if help is requested, prints the usage and returns null. */
  static BenchOptions parse(String name, String[] args) {
    BenchOptions options = new BenchOptions();
    JCommander commander = JCommander.newBuilder().programName(name).addObject(options).build();
    commander.parse(args);
    if (options.help) {
      commander.usage();
      return null;
    }
    return options;
  }

  long traceMillis() {
    return seconds * 1_000;
  }

  long warmUpMillis() {
    return 60_000;
  }

  /** Generates the trace for these options at a mean request rate. */
  List<BenchRequest> trace(double requestsPerSecond) {
    return WorkloadGenerator.generate(requestsPerSecond, traceMillis(), routers, seed);
  }
}
