package org.goldcrestfall.standin.client;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.List;
import org.goldcrestfall.standin.answer.Message;
import org.goldcrestfall.standin.answer.Prompt;
import org.goldcrestfall.standin.upstream.Json;

/**
 * A chat completion to send. The header of an empty {@code apiKey}, {@code idempotencyKey} or
 * {@code patienceClass} is left out.
 */
public record ChatCall(
    String apiKey,
    String idempotencyKey,
    String patienceClass,
    String model,
    Prompt prompt,
    int maxTokens,
    boolean stream) {

  private record Body(
      String model,
      List<Message> messages,
      @JsonProperty("max_tokens") int maxTokens,
      boolean stream) {}

  /** Returns the HTTP request to {@code server}, an {@code ip:port}. */
  public HttpRequest request(String server, Duration timeout) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + server + "/v1/chat/completions"))
            .timeout(timeout)
            .header("Content-Type", "application/json");
    addHeaderIfPresent(builder, "Authorization", apiKey.isEmpty() ? "" : "Bearer " + apiKey);
    addHeaderIfPresent(builder, "Idempotency-Key", idempotencyKey);
    addHeaderIfPresent(builder, "Goldcrestfall-Patience", patienceClass);
    String body = Json.write(new Body(model, prompt.messages(), maxTokens, stream));
    return builder.POST(HttpRequest.BodyPublishers.ofString(body)).build();
  }

  private static void addHeaderIfPresent(HttpRequest.Builder builder, String name, String value) {
    if (!value.isEmpty()) {
      builder.header(name, value);
    }
  }
}
