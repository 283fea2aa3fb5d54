package org.goldcrestfall.daemon.http;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.daemon.filter.FilterChain;
import org.goldcrestfall.daemon.filter.ParseFilter;
import org.goldcrestfall.daemon.filter.RequestContext;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;

/** The caller API. Runs each request for a model or a plain service through the filter chain. */
public final class CallerEndpoint implements Endpoint {

  /**
   * Header with the time in milliseconds since the control group last confirmed the configuration.
   * It is set only if the configuration is stale, that is, if the time exceeds {@code
   * Daemon.MAX_CONFIG_AGE_MILLIS}.
   */
  public static final String CONFIG_AGE_HEADER = "Goldcrestfall-Config-Age";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String MODELS_PATH = "/v1/models";

  private final ActorSystem<?> system;
  private final FilterChain chain;
  private final Supplier<List<String>> models;
  private final LongSupplier staleConfigAgeMillis;
  private final MillisClock clock;
  private final DaemonMetrics metrics;

  /**
   * Creates the endpoint.
   *
   * @param models returns the models that the known engines serve
   * @param staleConfigAgeMillis returns the time since the configuration was last confirmed, or 0
   *     if the configuration is not stale
   */
  public CallerEndpoint(
      ActorSystem<?> system,
      FilterChain chain,
      Supplier<List<String>> models,
      LongSupplier staleConfigAgeMillis,
      MillisClock clock,
      DaemonMetrics metrics) {
    this.system = system;
    this.chain = chain;
    this.models = models;
    this.staleConfigAgeMillis = staleConfigAgeMillis;
    this.clock = clock;
    this.metrics = metrics;
  }

  @Override
  public boolean accepts(String path) {
    return path.equals(ParseFilter.CHAT_PATH)
        || path.equals(MODELS_PATH)
        || path.startsWith(ParseFilter.SERVICE_PREFIX);
  }

  @Override
  public CompletionStage<HttpResponse> handle(
      HttpRequest request, CompletableFuture<Void> callerDisconnected) {
    if (request.getUri().path().equals(MODELS_PATH)) {
      request.discardEntityBytes(system);
      List<Map<String, String>> data =
          models.get().stream().map(m -> Map.of("id", m, "object", "model")).toList();
      return CompletableFuture.completedFuture(
          HttpResponses.json(200, Map.of("object", "list", "data", data)));
    }
    RequestContext c = new RequestContext(request, callerDisconnected, clock.nowMillis());
    return chain.run(c).handle((r, e) -> finish(c, r, e));
  }

  private HttpResponse finish(RequestContext c, HttpResponse r, Throwable e) {
    HttpResponse out = r;
    if (e != null) {
      c.end();
      RequestFailure f = HttpResponses.toFailure(e);
      metrics.countRequest(f.kind().code());
      if (f.kind() == ErrorKind.INTERNAL) {
        logger.atWarning().withCause(HttpResponses.unwrap(e)).log(
            "http: request %s failed with an internal error", c.requestId());
      }
      // An unread request body would block the connection.
      c.http().discardEntityBytes(system);
      out = HttpResponses.failure(f, c.requestId());
    } else {
      metrics.countRequest("ok");
    }
    long configAgeMillis = staleConfigAgeMillis.getAsLong();
    return configAgeMillis == 0
        ? out
        : out.addHeader(RawHeader.create(CONFIG_AGE_HEADER, String.valueOf(configAgeMillis)));
  }
}
