package org.goldcrestfall.standin.bench;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.answer.Prompt;
import org.goldcrestfall.standin.client.ChatCall;
import org.goldcrestfall.standin.client.ChatClient;
import org.goldcrestfall.standin.upstream.Json;

/**
 * Compares the time to first token and the throughput of streams through a router with those of
 * streams directly from the engine. One run measures both in alternating phases, after a warm-up
 * round that is not counted.
 */
public final class PathBench {

  private static final int CLIENT_THREADS = 4;
  private static final int MAX_PACED_TOKENS = 100;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final double NANOS_PER_MICRO = 1_000.0;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** A server under test, with its results summed over the measured rounds. */
  private static final class Target {
    private final String name;
    private final String pacedServer;
    private final String fastServer;
    private final String apiKey;
    private final Histogram firstTokenMicros = new Histogram(3);
    private long tokens;
    private double seconds;
    private long cpuNanos;
    private long failures;
    private String firstFailure = "";

    Target(String name, String pacedServer, String fastServer, String apiKey) {
      this.name = name;
      this.pacedServer = pacedServer;
      this.fastServer = fastServer;
      this.apiKey = apiKey;
    }

    TargetReport report() {
      return new TargetReport(
          name,
          firstTokenMicros.getTotalCount(),
          firstTokenMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
          firstTokenMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
          tokens,
          tokens / seconds,
          failures,
          firstFailure);
    }
  }

  /** Result of one target, printed as JSON or as a table row. */
  record TargetReport(
      String target,
      long streams,
      @JsonProperty("first_token_p50_millis") double firstTokenP50,
      @JsonProperty("first_token_p99_millis") double firstTokenP99,
      long tokens,
      @JsonProperty("tokens_per_second") double tokensPerSecond,
      long failures,
      @JsonProperty("first_failure") String firstFailure) {}

  /** Result of a run: both targets, and the router compared with the engine. */
  record Report(
      TargetReport direct,
      TargetReport router,
      @JsonProperty("added_p50_millis") double addedP50,
      @JsonProperty("added_p99_millis") double addedP99,
      @JsonProperty("tokens_per_second_ratio") double ratio,
      @JsonProperty("router_cpu_micros_per_token") double cpuMicrosPerToken,
      @JsonProperty("tokens_per_router_core_second") double tokensPerCoreSecond) {}

  private final PathOptions options;
  private final ExecutorService executor = Executors.newFixedThreadPool(CLIENT_THREADS);
  private final ChatClient client = new ChatClient(executor, TIMEOUT);
  private final UniformRandomProvider random;
  private final AtomicInteger promptNumber = new AtomicInteger();

  /** Creates the benchmark. */
  public PathBench(PathOptions options) {
    this.options = options;
    this.random = RandomSource.SPLIT_MIX_64.create(options.seed);
  }

  /** Runs all rounds, prints the result and returns 1 if any stream failed. */
  public int run(PrintStream out) {
    String fastEngine = options.fastEngine == null ? options.engine : options.fastEngine;
    Target direct = new Target("engine", options.engine, fastEngine, "");
    Target router = new Target("router", options.router, options.router, options.apiKey);
    runRound(new Target("engine", options.engine, fastEngine, ""));
    runRound(new Target("router", options.router, options.router, options.apiKey));
    for (int i = 0; i < options.rounds; i++) {
      runRound(direct);
      runRound(router);
    }
    executor.shutdown();
    Report report = report(direct, router);
    if (options.output.equals("json")) {
      out.println(Json.write(report));
    } else {
      print(out, report);
    }
    return direct.failures + router.failures == 0 ? 0 : 1;
  }

  /**
   * Measures the time to first token with paced streams, then throughput and processor time with
   * streams that have no pauses.
   */
  private void runRound(Target target) {
    ClosedLoop pacedLoop =
        new ClosedLoop(
            client, target.pacedServer, () -> newCall(target, options.model, randomPacedTokens()));
    pacedLoop.run(options.streams, options.seconds);
    ClosedLoop fastLoop =
        new ClosedLoop(
            client,
            target.fastServer,
            () -> newCall(target, options.fastModel, options.fastTokens));
    final long cpuBefore = routerCpuNanos();
    target.seconds += fastLoop.run(options.fastStreams, options.seconds);
    target.cpuNanos += routerCpuNanos() - cpuBefore;
    target.firstTokenMicros.add(pacedLoop.firstTokenMicros());
    target.tokens += fastLoop.tokens();
    target.failures += pacedLoop.failures() + fastLoop.failures();
    if (target.firstFailure.isEmpty()) {
      target.firstFailure = pacedLoop.firstFailure() + fastLoop.firstFailure();
    }
  }

  private ChatCall newCall(Target target, String model, int maxTokens) {
    return new ChatCall(target.apiKey, "", "", model, promptReachingTokenLimit(), maxTokens, true);
  }

  /** Returns a prompt whose answer always reaches the token limit, which thus sets its length. */
  private Prompt promptReachingTokenLimit() {
    while (true) {
      Prompt prompt =
          Prompt.ofUser("question " + options.seed + " " + promptNumber.incrementAndGet());
      if (!Answer.to(prompt).hasNaturalEnd()) {
        return prompt;
      }
    }
  }

  private int randomPacedTokens() {
    synchronized (random) {
      return 1 + random.nextInt(MAX_PACED_TOKENS);
    }
  }

  /** Returns the processor time that the router has used, or 0 if it is unknown. */
  private long routerCpuNanos() {
    return ProcessHandle.of(options.routerPid)
        .flatMap(handle -> handle.info().totalCpuDuration())
        .map(Duration::toNanos)
        .orElse(0L);
  }

  private static Report report(Target direct, Target router) {
    TargetReport directReport = direct.report();
    TargetReport routerReport = router.report();
    double cpuMicros = router.cpuNanos / NANOS_PER_MICRO;
    return new Report(
        directReport,
        routerReport,
        routerReport.firstTokenP50() - directReport.firstTokenP50(),
        routerReport.firstTokenP99() - directReport.firstTokenP99(),
        routerReport.tokensPerSecond() / directReport.tokensPerSecond(),
        cpuMicros / routerReport.tokens(),
        routerReport.tokens() / (cpuMicros / 1e6));
  }

  private static void print(PrintStream out, Report report) {
    out.printf(
        "%-8s %10s %12s %12s %12s %14s %9s%n",
        "target", "streams", "first p50", "first p99", "tokens", "tokens/s", "failures");
    for (TargetReport t : new TargetReport[] {report.direct(), report.router()}) {
      out.printf(
          "%-8s %10d %9.2f ms %9.2f ms %12d %14.0f %9d%n",
          t.target(),
          t.streams(),
          t.firstTokenP50(),
          t.firstTokenP99(),
          t.tokens(),
          t.tokensPerSecond(),
          t.failures());
      if (!t.firstFailure().isEmpty()) {
        out.println("  first failure: " + t.firstFailure());
      }
    }
    out.printf(
        "added to first token: p50 %.2f ms, p99 %.2f ms%n", report.addedP50(), report.addedP99());
    out.printf("tokens/s, router to engine: %.3f%n", report.ratio());
    out.printf(
        "router: %.2f us of processor time a token, %.0f tokens a core second%n",
        report.cpuMicrosPerToken(), report.tokensPerCoreSecond());
  }
}
