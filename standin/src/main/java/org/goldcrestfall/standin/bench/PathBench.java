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
 * Measures time to first token and tokens a second through a router against straight to the engine.
 * Both are measured in one run in alternating phases, after one round that is not counted.
 */
public final class PathBench {

  private static final int CLIENT_THREADS = 4;
  private static final int MAX_PACED_TOKENS = 100;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final double NANOS_PER_MICRO = 1_000.0;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** Sums over the measured rounds of one target. */
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

    Target(String name, String paced, String fast, String key) {
      this.name = name;
      this.pacedServer = paced;
      this.fastServer = fast;
      this.apiKey = key;
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

  record TargetReport(
      String target,
      long streams,
      @JsonProperty("first_token_p50_millis") double firstTokenP50,
      @JsonProperty("first_token_p99_millis") double firstTokenP99,
      long tokens,
      @JsonProperty("tokens_per_second") double tokensPerSecond,
      long failures,
      @JsonProperty("first_failure") String firstFailure) {}

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
    Target router = new Target("router", options.router, options.router, options.key);
    runRound(new Target("engine", options.engine, fastEngine, ""));
    runRound(new Target("router", options.router, options.router, options.key));
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

  private void runRound(Target target) {
    ClosedLoop paced =
        new ClosedLoop(
            client, target.pacedServer, () -> call(target, options.model, randomPacedTokens()));
    paced.run(options.streams, options.seconds);
    ClosedLoop fast =
        new ClosedLoop(
            client, target.fastServer, () -> call(target, options.fastModel, options.fastTokens));
    final long cpuBefore = routerCpuNanos();
    target.seconds += fast.run(options.fastStreams, options.seconds);
    target.cpuNanos += routerCpuNanos() - cpuBefore;
    target.firstTokenMicros.add(paced.firstTokenMicros());
    target.tokens += fast.tokens();
    target.failures += paced.failures() + fast.failures();
    if (target.firstFailure.isEmpty()) {
      target.firstFailure = paced.firstFailure() + fast.firstFailure();
    }
  }

  private ChatCall call(Target target, String model, int tokens) {
    return new ChatCall(target.apiKey, "", "", model, promptReachingTokenLimit(), tokens, true);
  }

  /** Returns a prompt whose answer runs into the limit, so that lengths are as chosen. */
  private Prompt promptReachingTokenLimit() {
    while (true) {
      Prompt prompt =
          Prompt.ofUser("question " + options.seed + " " + promptNumber.incrementAndGet());
      if (!Answer.to(prompt).endsByItself()) {
        return prompt;
      }
    }
  }

  private int randomPacedTokens() {
    synchronized (random) {
      return 1 + random.nextInt(MAX_PACED_TOKENS);
    }
  }

  private long routerCpuNanos() {
    return ProcessHandle.of(options.routerPid)
        .flatMap(handle -> handle.info().totalCpuDuration())
        .map(Duration::toNanos)
        .orElse(0L);
  }

  private static Report report(Target direct, Target router) {
    TargetReport d = direct.report();
    TargetReport r = router.report();
    double cpuMicros = router.cpuNanos / NANOS_PER_MICRO;
    return new Report(
        d,
        r,
        r.firstTokenP50() - d.firstTokenP50(),
        r.firstTokenP99() - d.firstTokenP99(),
        r.tokensPerSecond() / d.tokensPerSecond(),
        cpuMicros / r.tokens(),
        r.tokens() / (cpuMicros / 1e6));
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
