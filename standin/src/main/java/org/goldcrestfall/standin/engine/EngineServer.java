package org.goldcrestfall.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.standin.answer.ChatRequest;
import org.goldcrestfall.standin.upstream.Announcement;
import org.goldcrestfall.standin.upstream.Json;
import org.goldcrestfall.standin.upstream.Responses;
import org.goldcrestfall.standin.upstream.UpstreamProcess;

/** The HTTP API of the stand-in engine. */
public final class EngineServer implements UpstreamProcess.Upstream {

  private static final ContentType EVENT_STREAM = ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM);
  private static final long BODY_READ_TIMEOUT_MILLIS = 30_000;
  private static final long MAX_BODY_BYTES = 8L << 20;

  private final EngineOptions options;
  private final Engine engine;
  private final ScheduledExecutorService timers;
  private final Materializer materializer;

  /** Creates the API and its engine. */
  public EngineServer(
      EngineOptions options,
      MillisClock clock,
      ScheduledExecutorService timers,
      Materializer materializer) {
    this.options = options;
    this.timers = timers;
    this.materializer = materializer;
    this.engine = new Engine(options, clock, timers);
  }

  @Override
  public Announcement announcement(long incarnation, long sequence, boolean leaving) {
    return engine.announcement(incarnation, sequence, leaving);
  }

  @Override
  public int unfinishedRequests() {
    return engine.unfinishedRequests();
  }

  @Override
  public void onLeaving() {
    engine.onLeaving();
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    return switch (request.method().value() + " " + path) {
      case "POST /v1/chat/completions" -> readBody(request, this::handleChatCompletion);
      case "POST /v1/orders" -> readBody(request, this::handleOrder);
      case "GET /health" -> discardBody(request, Responses.json(200, Map.of("status", "ok")));
      case "GET /stats" -> discardBody(request, Responses.json(200, engine.stats()));
      default -> discardBody(request, Responses.error(404, "not_found", "unknown path " + path));
    };
  }

  private CompletionStage<HttpResponse> discardBody(HttpRequest request, HttpResponse response) {
    request.discardEntityBytes(materializer);
    return CompletableFuture.completedFuture(response);
  }

  private CompletionStage<HttpResponse> readBody(
      HttpRequest request, Function<JsonNode, CompletionStage<HttpResponse>> handler) {
    return request
        .entity()
        .toStrict(BODY_READ_TIMEOUT_MILLIS, MAX_BODY_BYTES, materializer)
        .thenCompose(entity -> handleJson(entity.getData(), handler));
  }

  private static CompletionStage<HttpResponse> handleJson(
      ByteString body, Function<JsonNode, CompletionStage<HttpResponse>> handler) {
    try {
      return handler.apply(Json.parse(body.toArray()));
    } catch (IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          Responses.error(400, "malformed_request", e.getMessage()));
    }
  }

  private CompletionStage<HttpResponse> handleChatCompletion(JsonNode body) {
    ChatRequest request = ChatRequest.parse(body);
    if (!engine.orderHandler().models().contains(request.model())) {
      return CompletableFuture.completedFuture(
          Responses.error(404, "unknown_model", "model " + request.model() + " is not loaded"));
    }
    Source<ByteString, NotUsed> answer = engine.answer(request);
    ContentType type = request.stream() ? EVENT_STREAM : ContentTypes.APPLICATION_JSON;
    return CompletableFuture.completedFuture(
        HttpResponse.create().withEntity(HttpEntities.createChunked(type, answer)));
  }

  private CompletionStage<HttpResponse> handleOrder(JsonNode body) {
    OrderHandler.Result result =
        engine
            .orderHandler()
            .apply(
                body.path("order_id").asText(),
                body.path("fencing").asLong(),
                body.path("action").asText(),
                body.path("model").asText());
    HttpResponse response =
        result.accepted()
            ? Responses.json(200, Map.of("status", "done", "detail", result.detail()))
            : Responses.error(409, "order_refused", result.detail());
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    timers.schedule(
        () -> answer.complete(response), options.orderDurationMillis, TimeUnit.MILLISECONDS);
    return answer;
  }
}
