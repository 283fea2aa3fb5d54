package org.goldcrestfall.standin.upstream;

import com.google.common.flogger.FluentLogger;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Announces an upstream to the routers in turn, as a load balancer would distribute the requests. A
 * failed request is repeated at the next router, until each router was tried once.
 */
final class Announcer {

  /** Creates the announcement of the current state. */
  interface Source {
    Announcement announcement(long sequence, boolean leaving);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(REQUEST_TIMEOUT)
          .build();
  private final List<String> routers;
  private final String upstreamKey;
  private final Source source;
  private long sequence;
  private int nextRouter;
  private boolean leaving;
  private String lastProblem = "";

  Announcer(UpstreamOptions options, Source source) {
    this.routers = List.copyOf(options.routers);
    this.upstreamKey = options.upstreamKey;
    this.source = source;
    // Spreads the first announcements of upstreams that start together over the routers.
    this.nextRouter =
        routers.isEmpty() ? 0 : Math.floorMod(options.name.hashCode(), routers.size());
  }

  void start(ScheduledExecutorService executor, long intervalMillis) {
    if (!routers.isEmpty()) {
      executor.scheduleAtFixedRate(this::announce, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }
  }

  /** Announces immediately, and in all later announcements, that the upstream is leaving. */
  void announceLeaving() {
    synchronized (this) {
      leaving = true;
    }
    if (!routers.isEmpty()) {
      announce();
    }
  }

  private void announce() {
    try {
      String body;
      synchronized (this) {
        body = Json.write(source.announcement(++sequence, leaving));
      }
      send(body, routers.size());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("announce: failed to create or send the announcement");
    }
  }

  private void send(String body, int attempts) {
    String router;
    synchronized (this) {
      router = routers.get(nextRouter);
      nextRouter = (nextRouter + 1) % routers.size();
    }
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + router + "/v1/upstreams/announce"))
            .timeout(REQUEST_TIMEOUT)
            .header("Authorization", "Bearer " + upstreamKey)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .whenComplete((response, failure) -> onResponse(router, body, attempts, response, failure));
  }

  private void onResponse(
      String router, String body, int attempts, HttpResponse<String> response, Throwable failure) {
    if (failure == null && response.statusCode() == 200) {
      logNewProblem("");
      return;
    }
    logNewProblem(
        failure == null
            ? router + " answered " + response.statusCode() + " " + response.body()
            : router + " did not respond");
    if (attempts > 1) {
      send(body, attempts - 1);
    }
  }

  private synchronized void logNewProblem(String problem) {
    if (!problem.isEmpty() && !problem.equals(lastProblem)) {
      logger.atInfo().log("announce: %s", problem);
    }
    lastProblem = problem;
  }
}
