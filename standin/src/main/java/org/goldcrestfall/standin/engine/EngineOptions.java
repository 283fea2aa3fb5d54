package org.goldcrestfall.standin.engine;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.goldcrestfall.standin.upstream.UpstreamOptions;

/** Options of the stand-in engine. */
@Parameters(commandDescription = "Run a stand-in model engine")
public final class EngineOptions {

  @ParametersDelegate public UpstreamOptions upstream = new UpstreamOptions();

  @Parameter(names = "--models", description = "Comma-separated names of the loaded models")
  public List<String> models = new ArrayList<>(List.of("hull-1"));

  @Parameter(
      names = "--token-interval-millis",
      description = "Time between tokens; 0 sends as fast as the connection takes them")
  public double tokenIntervalMillis = 20;

  @Parameter(
      names = "--prefill-micros",
      description = "Prefill time of a prompt token that is not cached, in microseconds")
  public double prefillMicrosPerToken = 100;

  @Parameter(names = "--cache-tokens", description = "Size of the prefix cache in tokens")
  public int cacheTokens = 200_000;

  @Parameter(names = "--cache-event-delay-millis", description = "Delay of cache events")
  public long cacheEventDelayMillis = 700;

  @Parameter(
      names = "--cache-event-gap",
      description = "Share of the cache events that are never published")
  public double cacheEventLossShare = 0.05;

  @Parameter(names = "--load-lag-millis", description = "Lag of load reports")
  public long loadLagMillis = 500;

  @Parameter(
      names = "--checks-fencing",
      arity = 1,
      description = "Whether an order with an old fencing number is refused")
  public boolean checksFencing = true;

  @Parameter(names = "--order-millis", description = "Time to carry out an order")
  public long orderDurationMillis = 200;

  @Parameter(
      names = "--events-per-write",
      description = "Token events in one write where the token interval is 0")
  public int eventsPerWrite = 16;

  @Parameter(names = "--seed", description = "Seed of the gaps in cache events")
  public long seed = 1;

  @Parameter(names = "--help", help = true, description = "Show this help")
  public boolean help;
}
