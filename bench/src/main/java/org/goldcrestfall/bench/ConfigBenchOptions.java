package org.goldcrestfall.bench;

import com.beust.jcommander.Parameter;
import java.util.List;

/** Options of {@link ConfigBench}. */
final class ConfigBenchOptions {

  @Parameter(names = "--routers", description = "Numbers of routers, one run each")
  List<Integer> routers = List.of(3, 10, 30);

  @Parameter(names = "--changes", description = "Changes of the configuration in a run")
  int changes = 40;

  @Parameter(names = "--seconds", description = "Length of each measurement of steady cost")
  int seconds = 20;

  @Parameter(names = "--upstreams", description = "Upstreams that announce themselves every second")
  int upstreams = 9;

  @Parameter(names = "--workspaces", description = "Workspaces in the configuration")
  int workspaces = 10;

  @Parameter(names = "--seed", description = "Seed of the random order of probes")
  long seed = 1;

  @Parameter(names = "--help", help = true, description = "Shows this text")
  boolean help;
}
