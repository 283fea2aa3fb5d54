package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.goldcrestfall.standin.client.ChatCall;
import org.goldcrestfall.standin.client.ChatClient;
import org.goldcrestfall.standin.service.ServiceServer;
import org.goldcrestfall.standin.upstream.Json;

/** Sends one attempt of a request to a router and verifies the answer. */
final class LoadClient {

  private final LoadOptions options;
  private final Duration timeout;
  private final ChatClient chat;
  private final HttpClient http;

  LoadClient(LoadOptions options, Executor executor) {
    this.options = options;
    this.timeout = Duration.ofSeconds(options.timeoutSeconds);
    this.chat = new ChatClient(executor, timeout);
    this.http = ChatClient.newHttpClient(executor);
  }

  /**
   * Sends the request to {@code server}, an {@code ip:port}. Failures complete the future with a
   * result, never exceptionally.
   */
  CompletableFuture<AttemptResult> send(String server, TraceEntry entry) {
    if (!entry.isChat()) {
      return http.sendAsync(serviceRequest(server, entry), HttpResponse.BodyHandlers.ofString())
          .handle(
              (response, failure) ->
                  failure == null
                      ? verify(entry, response)
                      : AttemptResult.connectionLost(failure));
    }
    ChatCall call =
        new ChatCall(
            options.keys.get(entry.keyIndex()),
            entry.id(),
            entry.patienceClass(),
            options.model,
            entry.prompt(),
            entry.maxTokens(),
            entry.kind() == TraceEntry.Kind.STREAM);
    return chat.send(server, call).thenApply(AttemptResult::of);
  }

  private HttpRequest serviceRequest(String server, TraceEntry entry) {
    String base = "http://" + server + "/v1/services/" + options.service;
    boolean lookup = entry.kind() == TraceEntry.Kind.LOOKUP;
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create(lookup ? base + "/stock/" + entry.item() : base + "/bookings"))
            .timeout(timeout)
            .header("Authorization", "Bearer " + options.keys.get(entry.keyIndex()))
            .header("Idempotency-Key", entry.id());
    if (!entry.patienceClass().isEmpty()) {
      request.header("Goldcrestfall-Patience", entry.patienceClass());
    }
    if (lookup) {
      return request.GET().build();
    }
    String body = "{\"item\":\"" + entry.item() + "\"}";
    return request
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private static AttemptResult verify(TraceEntry entry, HttpResponse<String> response) {
    JsonNode json;
    try {
      json = Json.parse(response.body());
    } catch (IllegalArgumentException e) {
      return AttemptResult.answered("the body is not JSON: " + response.body());
    }
    if (json.has("error")) {
      return AttemptResult.ofError(json.get("error"), "");
    }
    boolean correct =
        entry.kind() == TraceEntry.Kind.LOOKUP
            ? json.path("item").asText().equals(entry.item())
                && json.path("count").asInt() == ServiceServer.stockOf(entry.item())
            : response.statusCode() == 201 && json.path("booking").asText().equals(entry.id());
    return AttemptResult.answered(
        correct ? "" : "status " + response.statusCode() + ": " + response.body());
  }
}
