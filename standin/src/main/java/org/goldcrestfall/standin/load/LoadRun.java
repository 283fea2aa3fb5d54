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
  private static final long MAX_DELAY_MILLIS = 2000;
  private static final long POLL_MILLIS = 500;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadOptions options;
  private final ExecutorService clients = Executors.newFixedThreadPool(CLIENT_THREADS);
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final UniformRandomProvider jitter;
  private final Caller caller;
  private final Tally tally = new Tally();
  private final ServiceAudit services;
  private final BillingAudit billing;
  private final CountDownLatch open;
  private long startNanos;

  /** Creates a run. */
  public LoadRun(LoadOptions options) {
    this.options = options;
    this.caller = new Caller(options, clients);
    this.services = new ServiceAudit(options, tally);
    this.billing = new BillingAudit(options, tally);
    this.open = new CountDownLatch(options.requests);
    this.jitter = RandomSource.SPLIT_MIX_64.create(options.seed);
  }

  /** Runs the trace, prints the result and returns the exit code. */
  public int run(PrintStream out) throws Exception {
    TraceGenerator trace = new TraceGenerator(options);
    if (billing.isEnabled()) {
      billing.start();
      timers.scheduleWithFixedDelay(this::poll, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
    startNanos = System.nanoTime();
    for (int i = 0; i < options.requests; i++) {
      TraceEntry entry = trace.next();
      await(startNanos + entry.atNanos());
      send(entry, 0);
    }
    open.await();
    final double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    timers.shutdownNow();
    timers.awaitTermination(1, TimeUnit.MINUTES);
    LoadReport report = tally.report(seconds, services.check(), billing.check());
    if (options.output.equals("json")) {
      out.println(Json.write(report));
    } else {
      report.print(out);
    }
    clients.shutdown();
    return report.isClean() ? 0 : 1;
  }

  private void send(TraceEntry entry, int attempt) {
    int router = Math.floorMod(entry.id().hashCode() + attempt, options.servers.size());
    caller
        .send(options.servers.get(router), entry)
        .orTimeout(2 * options.timeoutSeconds, TimeUnit.SECONDS)
        .exceptionally(Attempt::lost)
        .thenAccept(result -> completed(entry, attempt, result));
  }

  private void completed(TraceEntry entry, int attempt, Attempt result) {
    boolean again = !result.isWrong() && !result.isWhole() && result.retry();
    if (again && attempt + 1 < options.attempts) {
      timers.schedule(() -> send(entry, attempt + 1), delayMillis(attempt), TimeUnit.MILLISECONDS);
      return;
    }
    services.finished(entry, result);
    billing.finished(entry, result);
    tally.finished(entry, result, attempt + 1, startNanos + entry.atNanos());
    open.countDown();
  }

  private long delayMillis(int attempt) {
    long limit = Math.min(MAX_DELAY_MILLIS, options.retryMillis << Math.min(attempt, 16));
    synchronized (jitter) {
      return jitter.nextLong(limit + 1);
    }
  }

  private void poll() {
    try {
      billing.poll();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      tally.problem("billing: " + e);
    }
  }

  private static void await(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }
}
