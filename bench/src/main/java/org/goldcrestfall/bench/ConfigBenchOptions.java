package org.goldcrestfall.bench;

import com.beust.jcommander.Parameter;
import java.util.List;

/** Options of {@link ConfigBench}. */
final class ConfigBenchOptions {

  @Parameter(
      names = "--routers",
      description = "Numbers of routers; each is measured in a run of its own")
  List<Integer> routers = List.of(3, 10, 30);

  @Parameter(names = "--changes", description = "Configuration changes in each run")
  int changes = 40;

  @Parameter(names = "--seconds", description = "Duration of each cost measurement")
  int seconds = 20;

  @Parameter(names = "--upstreams", description = "Upstreams, each announced once a second")
  int upstreams = 9;

  @Parameter(names = "--workspaces", description = "Number of workspaces in the configuration")
  int workspaces = 10;

  @Parameter(
      names = "--seed",
      description = "Seed of the random choices, such as the order of probes")
  long seed = 1;

  @Parameter(names = "--help", help = true, description = "Prints this help")
  boolean help;
}
