package org.goldcrestfall.standin.load;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.standin.upstream.Json;

/**
 * Sends the requests of a trace at their times, whether earlier ones are answered or not. A request
 * whose connection is lost or whose refusal invites a retry is sent again under the same
 * Idempotency-Key through the next router, after an exponential delay with full jitter.
 */
public final class LoadRun {

  private static final int CLIENT_THREADS = 4;
  private static final long MAX_RETRY_DELAY_MILLIS = 2000;
  private static final long BILLING_POLL_INTERVAL_MILLIS = 500;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadOptions options;
  private final ExecutorService clientExecutor = Executors.newFixedThreadPool(CLIENT_THREADS);
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final UniformRandomProvider jitter;
  private final LoadClient client;
  private final LoadStatistics statistics = new LoadStatistics();
  private final ServiceAudit serviceAudit;
  private final BillingAudit billingAudit;
  private final CountDownLatch unfinishedRequests;
  private long startNanos;

  /** Creates a run. */
  public LoadRun(LoadOptions options) {
    this.options = options;
    this.client = new LoadClient(options, clientExecutor);
    this.serviceAudit = new ServiceAudit(options, statistics);
    this.billingAudit = new BillingAudit(options, statistics);
    this.unfinishedRequests = new CountDownLatch(options.requests);
    this.jitter = RandomSource.SPLIT_MIX_64.create(options.seed);
  }

  /** Runs the trace, prints the result and returns the exit code. */
  public int run(PrintStream out) throws Exception {
    TraceGenerator trace = new TraceGenerator(options);
    if (billingAudit.isEnabled()) {
      billingAudit.start();
      timers.scheduleWithFixedDelay(
          this::pollBilling,
          BILLING_POLL_INTERVAL_MILLIS,
          BILLING_POLL_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
    }
    startNanos = System.nanoTime();
    for (int i = 0; i < options.requests; i++) {
      TraceEntry entry = trace.next();
      parkUntil(startNanos + entry.offsetNanos());
      send(entry, 0);
    }
    unfinishedRequests.await();
    final double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    timers.shutdownNow();
    timers.awaitTermination(1, TimeUnit.MINUTES);
    LoadReport report = statistics.report(seconds, serviceAudit.check(), billingAudit.check());
    if (options.output.equals("json")) {
      out.println(Json.write(report));
    } else {
      report.print(out);
    }
    clientExecutor.shutdown();
    return report.isClean() ? 0 : 1;
  }

  private void send(TraceEntry entry, int attempt) {
    int router = Math.floorMod(entry.id().hashCode() + attempt, options.servers.size());
    client
        .send(options.servers.get(router), entry)
        .orTimeout(2 * options.timeoutSeconds, TimeUnit.SECONDS)
        .exceptionally(AttemptResult::connectionLost)
        .thenAccept(result -> onAttemptCompleted(entry, attempt, result));
  }

  private void onAttemptCompleted(TraceEntry entry, int attempt, AttemptResult result) {
    boolean again = !result.isWrong() && !result.isComplete() && result.retryable();
    if (again && attempt + 1 < options.attempts) {
      timers.schedule(
          () -> send(entry, attempt + 1), retryDelayMillis(attempt), TimeUnit.MILLISECONDS);
      return;
    }
    serviceAudit.onRequestFinished(entry, result);
    billingAudit.onRequestFinished(entry, result);
    statistics.recordOutcome(entry, result, attempt + 1, startNanos + entry.offsetNanos());
    unfinishedRequests.countDown();
  }

  private long retryDelayMillis(int attempt) {
    long limit = Math.min(MAX_RETRY_DELAY_MILLIS, options.retryMillis << Math.min(attempt, 16));
    synchronized (jitter) {
      return jitter.nextLong(limit + 1);
    }
  }

  private void pollBilling() {
    try {
      billingAudit.poll();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      statistics.addProblem("billing: " + e);
    }
  }

  private static void parkUntil(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }
}
