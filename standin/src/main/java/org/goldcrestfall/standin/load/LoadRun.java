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
 * An open-loop load generator: sends the requests of a trace at their scheduled times, whether or
 * not earlier ones have been answered. A request is retried if its connection is lost or its
 * refusal is retryable. Retries go to the next router under the same {@code Idempotency-Key}, after
 * an exponential delay with full jitter.
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

  /** Creates a run with the given options. */
  public LoadRun(LoadOptions options) {
    this.options = options;
    this.client = new LoadClient(options, clientExecutor);
    this.serviceAudit = new ServiceAudit(options, statistics);
    this.billingAudit = new BillingAudit(options, statistics);
    this.unfinishedRequests = new CountDownLatch(options.requests);
    this.jitter = RandomSource.SPLIT_MIX_64.create(options.seed);
  }

  /** Sends the trace and prints the result; returns exit code 0, or 1 if the run found a fault. */
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
    int routerIndex = Math.floorMod(entry.id().hashCode() + attempt, options.servers.size());
    client
        .send(options.servers.get(routerIndex), entry)
        .orTimeout(2 * options.timeoutSeconds, TimeUnit.SECONDS)
        .exceptionally(AttemptResult::connectionLost)
        .thenAccept(result -> onAttemptCompleted(entry, attempt, result));
  }

  private void onAttemptCompleted(TraceEntry entry, int attempt, AttemptResult result) {
    boolean shouldRetry = !result.isWrong() && !result.isComplete() && result.retryable();
    if (shouldRetry && attempt + 1 < options.attempts) {
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
    long limit =
        Math.min(MAX_RETRY_DELAY_MILLIS, options.retryBaseDelayMillis << Math.min(attempt, 16));
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

  private static void parkUntil(long deadlineNanos) {
    long remainingNanos = deadlineNanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = deadlineNanos - System.nanoTime();
    }
  }
}
