package org.goldcrestfall.daemon.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;

/** Serves liveness, readiness and metrics to the platform. */
public final class PlatformEndpoint implements Endpoint {

  private final DaemonMetrics metrics;
  private final Supplier<List<String>> notReadyReasons;

  /**
   * Creates the endpoint.
   *
   * @param notReadyReasons returns one sentence for each reason why the daemon is not ready
   */
  public PlatformEndpoint(DaemonMetrics metrics, Supplier<List<String>> notReadyReasons) {
    this.metrics = metrics;
    this.notReadyReasons = notReadyReasons;
  }

  @Override
  public boolean accepts(String path) {
    return path.equals("/livez") || path.equals("/readyz") || path.equals("/metrics");
  }

  @Override
  public CompletionStage<HttpResponse> handle(
      HttpRequest request, CompletableFuture<Void> callerDisconnected) {
    return CompletableFuture.completedFuture(respond(request.getUri().path()));
  }

  private HttpResponse respond(String path) {
    if (path.equals("/metrics")) {
      return HttpResponse.create()
          .withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, metrics.scrape()));
    }
    if (path.equals("/livez")) {
      return HttpResponses.text(200, "ok\n");
    }
    List<String> reasons = notReadyReasons.get();
    return reasons.isEmpty()
        ? HttpResponses.text(200, "ok\n")
        : HttpResponses.text(503, String.join("\n", reasons) + "\n");
  }
}
