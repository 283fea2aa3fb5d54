package org.goldcrestfall.daemon.upstream;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Calls plain services, each call on a new connection. When a pooled connection fails, it cannot be
 * determined whether the request was sent, and a booking may be retried only if it was not.
 */
public final class ServiceClient {

  /** Maximum size of the response body of a plain service, in bytes. */
  public static final long MAX_RESPONSE_BYTES = 4L << 20;

  private final ActorSystem<?> system;

  /** Creates a client. */
  public ServiceClient(ActorSystem<?> system) {
    this.system = system;
  }

  /**
   * Sends a request and reads the whole response. The future fails with {@link NotSentException} if
   * no connection could be opened. On any other failure, such as an {@link IOException} or a
   * timeout, the service may have processed the request.
   *
   * @param address IP address and port of the service
   */
  public CompletableFuture<ServiceResponse> call(
      String address, HttpRequest request, long timeoutMillis) {
    return call(address, request, timeoutMillis, () -> true);
  }

  /**
   * Like {@link #call(String, HttpRequest, long)}, but also fails with {@link NotSentException} if
   * {@code maySend} returns false after the connection was established, just before the first byte
   * is written.
   */
  public CompletableFuture<ServiceResponse> call(
      String address, HttpRequest request, long timeoutMillis, BooleanSupplier maySend) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection =
        Http.get(system).connectionTo(host).toPort(port).http();
    CompletableFuture<HttpRequest> releasedRequest = new CompletableFuture<>();
    Pair<CompletionStage<OutgoingConnection>, CompletionStage<HttpResponse>> run =
        Source.completionStage(releasedRequest)
            .viaMat(connection, Keep.right())
            .toMat(Sink.head(), Keep.both())
            .run(system);
    CompletableFuture<ServiceResponse> response = new CompletableFuture<>();
    // The request enters the stream only after the connection is established, so no byte of it was
    // sent if the connection attempt fails.
    run.first()
        .whenComplete(
            (c, e) -> {
              if (e != null) {
                response.completeExceptionally(
                    new NotSentException("connection to " + address + " failed", e));
              }
              if (e == null && !maySend.getAsBoolean()) {
                response.completeExceptionally(
                    new NotSentException("the time to send is over", null));
                releasedRequest.completeExceptionally(new IOException("the time to send is over"));
                return;
              }
              releasedRequest.complete(request);
            });
    run.second()
        .thenCompose(r -> readBody(r, timeoutMillis))
        .whenComplete(
            (a, e) -> {
              if (e == null) {
                response.complete(a);
              } else if (!run.first().toCompletableFuture().isCompletedExceptionally()) {
                response.completeExceptionally(
                    new IOException("call to " + address + " failed", e));
              }
            });
    return response.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  private CompletionStage<ServiceResponse> readBody(HttpResponse r, long timeoutMillis) {
    return r.entity()
        .withSizeLimit(MAX_RESPONSE_BYTES)
        .toStrict(timeoutMillis, system)
        .thenApply(
            (HttpEntity.Strict s) ->
                new ServiceResponse(
                    r.status().intValue(), s.getContentType().toString(), s.getData().toArray()));
  }
}
