package org.goldcrestfall.standin.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Options of {@link PathBench}. */
@Parameters(commandDescription = "Compare streams through a router with streams from the engine")
public final class PathOptions {

  @Parameter(names = "--engine", description = "ip:port of the engine", required = true)
  public String engine;

  @Parameter(names = "--fast-engine", description = "ip:port of the engine without pauses")
  public String fastEngine;

  @Parameter(names = "--router", description = "ip:port of the router", required = true)
  public String router;

  @Parameter(names = "--router-pid", description = "Process id of the router", required = true)
  public long routerPid;

  @Parameter(names = "--key", description = "API key", required = true)
  public String apiKey;

  @Parameter(names = "--model", description = "Model of the engine")
  public String model = "paced-1";

  @Parameter(names = "--fast-model", description = "Model of the engine without pauses")
  public String fastModel = "fast-1";

  @Parameter(names = "--streams", description = "Open streams for the time to first token")
  public int streams = 200;

  @Parameter(names = "--fast-streams", description = "Open streams for tokens per second")
  public int fastStreams = 16;

  @Parameter(names = "--fast-tokens", description = "Tokens of a stream for tokens per second")
  public int fastTokens = 2000;

  @Parameter(names = "--seconds", description = "Duration of one phase")
  public int seconds = 5;

  @Parameter(names = "--rounds", description = "Measured rounds after one round of warm-up")
  public int rounds = 3;

  @Parameter(names = "--seed", description = "Seed of prompts and lengths")
  public long seed = 1;

  @Parameter(names = "--output", description = "table or json")
  public String output = "table";

  @Parameter(names = "--help", help = true, description = "Show this help")
  public boolean help;
}
