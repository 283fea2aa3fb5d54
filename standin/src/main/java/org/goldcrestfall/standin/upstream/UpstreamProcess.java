package org.goldcrestfall.standin.upstream;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Tcp;
import org.goldcrestfall.core.common.MillisClock;

/**
 * Runs an upstream: serves HTTP, announces the upstream to the routers and, on SIGTERM, announces
 * that it is leaving and waits for the unfinished requests. The exit code is 0 if all of them
 * finished, otherwise 1.
 */
public final class UpstreamProcess {

  /** The part of the process that differs between the engine and the service. */
  public interface Upstream {

    /** Returns the announcement of the current state. */
    Announcement announcement(long incarnation, long sequence, boolean leaving);

    /** Returns the response, or {@link #DROP_CONNECTION} to close the connection without one. */
    CompletionStage<HttpResponse> handle(HttpRequest request);

    /** Returns the number of requests that run or wait. */
    int unfinishedRequests();

    /** Called once, right before the first announcement that the upstream is leaving. */
    void onLeaving();
  }

  /**
   * The marker, compared by identity, for which the listener closes the connection without sending
   * a byte.
   */
  public static final HttpResponse DROP_CONNECTION = HttpResponse.create().withStatus(500);

  private static final long DRAIN_TIMEOUT_MILLIS = 120_000;
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

  private UpstreamProcess() {}

  /** Starts the upstream and returns as soon as it accepts connections. */
  public static void run(
      UpstreamOptions options,
      ActorSystem system,
      ScheduledExecutorService timers,
      MillisClock clock,
      Upstream upstream,
      PrintStream out)
      throws Exception {
    Tcp.ServerBinding binding =
        HttpListener.listen(system, options.address, options.port, upstream::handle)
            .toCompletableFuture()
            .get(30, TimeUnit.SECONDS);
    final long incarnation = System.currentTimeMillis();
    Announcer announcer =
        new Announcer(
            options, (sequence, leaving) -> upstream.announcement(incarnation, sequence, leaving));
    announcer.start(timers, options.announceIntervalMillis);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(() -> shutDown(options, clock, upstream, announcer, binding, out)));
    out.println("standin: " + options.name + " listens on " + options.announcedAddress());
    out.flush();
  }

  private static void shutDown(
      UpstreamOptions options,
      MillisClock clock,
      Upstream upstream,
      Announcer announcer,
      Tcp.ServerBinding binding,
      PrintStream out) {
    final long start = clock.nowMillis();
    upstream.onLeaving();
    announcer.announceLeaving();
    while (mustKeepRunning(options, clock.nowMillis() - start, upstream)) {
      Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(DRAIN_POLL_INTERVAL_MILLIS));
    }
    try {
      binding.unbind().toCompletableFuture().get(6, TimeUnit.SECONDS);
    } catch (Exception e) {
      out.println("standin: failed to release the listening port");
    }
    out.println(
        "standin: " + options.name + " left with " + upstream.unfinishedRequests() + " unfinished");
    out.flush();
    // Without halt, even a graceful shutdown would exit with 143, the code for SIGTERM.
    Runtime.getRuntime().halt(upstream.unfinishedRequests() == 0 ? 0 : 1);
  }

  private static boolean mustKeepRunning(
      UpstreamOptions options, long waitedMillis, Upstream upstream) {
    if (waitedMillis > DRAIN_TIMEOUT_MILLIS) {
      return false;
    }
    boolean announced = options.routers.isEmpty() || waitedMillis >= options.minLeavingMillis;
    return !announced || upstream.unfinishedRequests() > 0;
  }
}
