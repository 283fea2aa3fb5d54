package org.goldcrestfall.standin.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.base.Throwables;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.goldcrestfall.standin.upstream.Json;

/** Sends chat completions and verifies the answers. */
public final class ChatClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient http;
  private final Duration timeout;

  /** Creates a client; {@code timeout} limits the time until the response headers arrive. */
  public ChatClient(Executor executor, Duration timeout) {
    this.timeout = timeout;
    this.http = newHttpClient(executor);
  }

  /** Returns an HTTP/1.1 client; without the version, it would request an upgrade to HTTP/2. */
  public static HttpClient newHttpClient(Executor executor) {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .executor(executor)
        .build();
  }

  /**
   * Sends the call to {@code server}, an {@code ip:port}. The future never completes exceptionally;
   * the reply describes the failure.
   */
  public CompletableFuture<ChatReply> send(String server, ChatCall call) {
    Exchange exchange = new Exchange(call);
    return http.sendAsync(call.request(server, timeout), exchange::createBodySubscriber)
        .handle((response, failure) -> exchange.toReply(failure));
  }

  /** The state of one call; only the body subscriber writes it until the call ends. */
  private static final class Exchange {
    private final AnswerCheck check;
    private volatile int status;
    private volatile String requestId = "";
    private volatile long firstTokenAtNanos;
    private volatile JsonNode error;

    Exchange(ChatCall call) {
      this.check = new AnswerCheck(call.prompt(), call.maxTokens());
    }

    HttpResponse.BodySubscriber<Void> createBodySubscriber(HttpResponse.ResponseInfo info) {
      status = info.statusCode();
      requestId = info.headers().firstValue("Goldcrestfall-Request-Id").orElse("");
      String type = info.headers().firstValue("Content-Type").orElse("");
      if (type.startsWith("text/event-stream")) {
        return new EventStreamSubscriber(this::onEvent);
      }
      return HttpResponse.BodySubscribers.mapping(
          HttpResponse.BodySubscribers.ofString(java.nio.charset.StandardCharsets.UTF_8),
          this::onBody);
    }

    private void onEvent(String data) {
      check.onEvent(data);
      if (firstTokenAtNanos == 0 && check.receivedTokens() > 0) {
        firstTokenAtNanos = System.nanoTime();
      }
    }

    private Void onBody(String body) {
      if (status == 200) {
        check.onBody(body);
        firstTokenAtNanos = System.nanoTime();
        return null;
      }
      try {
        error = Json.parse(body).path("error");
      } catch (IllegalArgumentException e) {
        error = MissingNode.getInstance();
      }
      return null;
    }

    private static String describe(Throwable failure) {
      return failure == null ? "" : Throwables.getRootCause(failure).toString();
    }

    ChatReply toReply(Throwable failure) {
      JsonNode errorObject = error == null ? check.error() : error;
      return new ChatReply(
          status, check, errorObject, requestId, firstTokenAtNanos, describe(failure));
    }
  }
}
