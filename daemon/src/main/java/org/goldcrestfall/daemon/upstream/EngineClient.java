package org.goldcrestfall.daemon.upstream;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.daemon.http.HttpResponses;

/** Calls the chat-completions API of model engines and decodes their streams. */
public final class EngineClient {

  /** Header with the time that remains until the caller's deadline, in milliseconds. */
  public static final String DEADLINE_HEADER = "Goldcrestfall-Deadline-Millis";

  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;

  private final ActorSystem<?> system;

  /** Creates a client that uses the system's connection pools. */
  public EngineClient(ActorSystem<?> system) {
    this.system = system;
  }

  /**
   * Opens a stream. The future fails with {@link NotSentException} if the connection failed or the
   * engine refused the request as overloaded, otherwise with {@link IOException}. Cancelling the
   * source closes the connection, which cancels the request at the engine.
   *
   * @param address IP address and port of the engine
   * @param body the request, as from {@link ChatCall#engineBody}
   * @param remainingMillis time until the caller's deadline
   */
  public CompletionStage<Source<List<TokenEvent>, NotUsed>> open(
      String address, byte[] body, long remainingMillis) {
    HttpRequest request =
        HttpRequest.POST("http://" + address + "/v1/chat/completions")
            .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, body))
            .addHeader(RawHeader.create(DEADLINE_HEADER, String.valueOf(remainingMillis)));
    return Http.get(system)
        .singleRequest(request)
        .handle(
            (r, e) ->
                e == null
                    ? checkStatus(address, r)
                    : CompletableFuture.<HttpResponse>failedFuture(toFailure(address, e)))
        .thenCompose(f -> f)
        .thenApply(r -> decode(address, r));
  }

  private CompletableFuture<HttpResponse> checkStatus(String address, HttpResponse r) {
    int status = r.status().intValue();
    if (status == 200) {
      return CompletableFuture.completedFuture(r);
    }
    r.discardEntityBytes(system);
    String text = "engine at " + address + " answered with status " + status;
    return CompletableFuture.failedFuture(
        status == STATUS_SERVICE_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS
            ? new NotSentException(text, null)
            : new IOException(text));
  }

  static IOException toFailure(String address, Throwable e) {
    Throwable c = HttpResponses.unwrap(e);
    if (c instanceof StreamTcpException && isConnectFailure(c)) {
      return new NotSentException("connection to " + address + " failed", c);
    }
    return new IOException("call to " + address + " failed", c);
  }

  private static boolean isConnectFailure(Throwable c) {
    return c.getCause() instanceof java.net.ConnectException
        || String.valueOf(c.getMessage()).contains("Connection refused")
        || String.valueOf(c.getMessage()).contains("ConnectException");
  }

  private static Source<List<TokenEvent>, NotUsed> decode(String address, HttpResponse r) {
    AtomicBoolean done = new AtomicBoolean();
    return r.entity()
        .getDataBytes()
        .mapMaterializedValue(m -> NotUsed.getInstance())
        .statefulMapConcat(
            () -> {
              SseDecoder decoder = new SseDecoder();
              return (ByteString b) -> {
                List<TokenEvent> events = decoder.decode(b);
                done.set(decoder.isDone());
                return events.isEmpty() ? List.of() : List.of(events);
              };
            })
        .concatLazy(Source.lazySource(() -> checkDone(address, done.get())));
  }

  /**
   * Fails a stream without a {@code [DONE]} event, which was cut off by a failure of the engine.
   */
  private static Source<List<TokenEvent>, NotUsed> checkDone(String address, boolean done) {
    return done
        ? Source.empty()
        : Source.failed(new IOException("engine at " + address + " ended the stream early"));
  }
}
