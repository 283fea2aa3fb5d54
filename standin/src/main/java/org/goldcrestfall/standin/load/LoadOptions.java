package org.goldcrestfall.standin.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Options of the load generator. */
@Parameters(commandDescription = "Send a seeded open-loop load through routers and verify it")
public final class LoadOptions {

  @Parameter(
      names = "--servers",
      description = "Comma-separated ip:port list of routers",
      required = true)
  public List<String> servers = new ArrayList<>();

  @Parameter(names = "--keys", description = "Comma-separated API keys, used in turn")
  public List<String> keys = new ArrayList<>(List.of(""));

  @Parameter(names = "--model", description = "Model")
  public String model = "hull-1";

  @Parameter(names = "--rate", description = "Requests per second")
  public double requestsPerSecond = 50;

  @Parameter(names = "--requests", description = "Number of requests")
  public int requests = 1000;

  @Parameter(names = "--seed", description = "Seed of the trace")
  public long seed = 1;

  @Parameter(
      names = "--run",
      description = "Prefix of the Idempotency-Keys; a second run on the same fleet needs another")
  public String idempotencyKeyPrefix = "load";

  @Parameter(
      names = "--classes",
      description = "Comma-separated patience classes with their shares, such as quick=3,patient=1")
  public List<String> classShares = new ArrayList<>(List.of("=1"));

  @Parameter(names = "--streamed-share", description = "Share of streams among chat completions")
  public double streamedShare = 0.7;

  @Parameter(names = "--lookup-share", description = "Share of stock lookups")
  public double lookupShare = 0.0;

  @Parameter(names = "--booking-share", description = "Share of bookings")
  public double bookingShare = 0.0;

  @Parameter(names = "--service", description = "Name of the plain service")
  public String service = "workshop";

  @Parameter(names = "--max-tokens", description = "Largest output limit of a request")
  public int maxTokens = 64;

  @Parameter(names = "--prompt-bytes", description = "Mean length of the user message")
  public int promptBytes = 200;

  @Parameter(names = "--prefixes", description = "Number of system messages that requests share")
  public int prefixes = 8;

  @Parameter(names = "--prefix-bytes", description = "Length of a system message; 0 is none")
  public int prefixBytes = 1024;

  @Parameter(names = "--attempts", description = "Maximum number of attempts per request")
  public int attempts = 12;

  @Parameter(names = "--retry-millis", description = "Base of the exponential retry delay")
  public long retryBaseDelayMillis = 50;

  @Parameter(names = "--timeout-seconds", description = "Time limit for the headers of an answer")
  public long timeoutSeconds = 30;

  @Parameter(
      names = "--service-stats",
      description = "Comma-separated ip:port list of stand-in services, to check bookings")
  public List<String> serviceServers = new ArrayList<>();

  @Parameter(
      names = "--admin",
      description = "Comma-separated ip:port list of daemons, to check billing")
  public List<String> adminServers = new ArrayList<>();

  @Parameter(
      names = "--token",
      description = "Operator token for --admin (default: GOLDCRESTFALL_TOKEN)")
  public String operatorToken = System.getenv().getOrDefault("GOLDCRESTFALL_TOKEN", "");

  @Parameter(names = "--workspace", description = "Workspace whose billing is checked")
  public String workspace = "";

  @Parameter(names = "--output", description = "table or json")
  public String output = "table";

  @Parameter(names = "--help", help = true, description = "Show this help")
  public boolean help;
}
