package org.goldcrestfall.daemon.http;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.daemon.settings.Settings;

/**
 * The HTTP server. Dispatches each request to the first endpoint that accepts its path, maps
 * failures to error responses, counts open requests, and notifies endpoints when a caller
 * disconnects.
 */
public final class DaemonHttpServer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ActorSystem<?> system;
  private final Settings settings;
  private final List<Endpoint> endpoints;
  private final OpenRequests openRequests;
  private CompletionStage<ServerBinding> binding;

  /** Creates the server, which listens only after {@link #start}. */
  public DaemonHttpServer(
      ActorSystem<?> system,
      Settings settings,
      List<Endpoint> endpoints,
      OpenRequests openRequests) {
    this.system = system;
    this.settings = settings;
    this.endpoints = List.copyOf(endpoints);
    this.openRequests = openRequests;
  }

  /** Binds the listening address and starts to accept connections. */
  public CompletionStage<ServerBinding> start() {
    binding =
        Http.get(system)
            .newServerAt(settings.http().address(), settings.http().port())
            .connectionSource()
            .toMat(Sink.foreach(this::accept), Keep.left())
            .run(system);
    return binding;
  }

  /** Stops accepting connections; open ones are still served. */
  public CompletionStage<Void> unbind() {
    return binding.thenCompose(ServerBinding::unbind).thenApply(d -> null);
  }

  private void accept(IncomingConnection c) {
    CallerConnection connection = new CallerConnection();
    Flow<HttpRequest, HttpResponse, NotUsed> flow =
        Flow.of(HttpRequest.class)
            .watchTermination(
                (m, done) -> {
                  done.whenComplete((d, e) -> connection.markClosed());
                  return m;
                })
            .mapAsync(1, r -> handle(r, connection));
    c.handleWith(flow, SystemMaterializer.get(system).materializer());
  }

  private CompletionStage<HttpResponse> handle(HttpRequest request, CallerConnection connection) {
    openRequests.requestStarted();
    return dispatch(request, connection)
        .handle((r, e) -> e == null ? r : failureResponse(request, e))
        .thenApply(this::trackEnd);
  }

  private CompletionStage<HttpResponse> dispatch(HttpRequest request, CallerConnection connection) {
    String path = request.getUri().path();
    try {
      for (Endpoint e : endpoints) {
        if (e.accepts(path)) {
          return e.handle(request, connection.nextRequest());
        }
      }
      request.discardEntityBytes(system);
      throw new RequestFailure(ErrorKind.NOT_FOUND, "There is nothing at " + path + ".");
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static HttpResponse failureResponse(HttpRequest request, Throwable e) {
    RequestFailure f = HttpResponses.toFailure(e);
    if (f.kind() == ErrorKind.INTERNAL) {
      logger.atWarning().withCause(HttpResponses.unwrap(e)).log(
          "http: request to %s failed with an internal error", request.getUri().path());
    }
    return HttpResponses.failure(f, "");
  }

  /**
   * Counts the request as ended: at once if the body of the response is complete, otherwise when
   * the stream of the body has ended. During shutdown, the response also closes the connection, and
   * a complete body counts as ended only when it has been passed on to the connection.
   */
  private HttpResponse trackEnd(HttpResponse r) {
    HttpResponse out = r;
    if (openRequests.isDraining()) {
      out = streamBody(r.addHeader(Connection.create("close")));
    }
    if (out.entity().isStrict()) {
      openRequests.requestEnded();
      return out;
    }
    return out.transformEntityDataBytes(
        Flow.of(ByteString.class)
            .watchTermination(
                (m, done) -> {
                  done.whenComplete((d, e) -> openRequests.requestEnded());
                  return m;
                }));
  }

  private static HttpResponse streamBody(HttpResponse r) {
    if (!(r.entity() instanceof HttpEntity.Strict body) || body.getData().isEmpty()) {
      return r;
    }
    return r.withEntity(
        HttpEntities.create(
            body.getContentType(), body.getData().size(), Source.single(body.getData())));
  }
}
