package org.goldcrestfall.standin.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Tcp;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.standin.answer.Prompt;
import org.goldcrestfall.standin.client.ChatCall;
import org.goldcrestfall.standin.client.ChatClient;
import org.goldcrestfall.standin.client.ChatReply;
import org.goldcrestfall.standin.engine.EngineOptions;
import org.goldcrestfall.standin.engine.EngineServer;
import org.goldcrestfall.standin.service.FaultMode;
import org.goldcrestfall.standin.service.ServiceOptions;
import org.goldcrestfall.standin.service.ServiceServer;

/** Tests the HTTP APIs of the engine and the service over loopback connections. */
class UpstreamHttpTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private static ActorSystem system;
  private static ScheduledExecutorService timers;
  private static Materializer materializer;
  private static String pacedEngineAddress;
  private static String unpacedEngineAddress;
  private final HttpClient http = ChatClient.newHttpClient(Runnable::run);

  @BeforeContainer
  static void startEngines() throws Exception {
    system = ActorSystem.create("test");
    timers = Executors.newScheduledThreadPool(2);
    materializer = Materializer.createMaterializer(system);
    pacedEngineAddress = listen(engine(5));
    unpacedEngineAddress = listen(engine(0));
  }

  @AfterContainer
  static void stopEngines() throws Exception {
    timers.shutdownNow();
    system.terminate();
    system.getWhenTerminated().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private static EngineServer engine(double tokenIntervalMillis) {
    EngineOptions options = new EngineOptions();
    options.upstream.name = "engine";
    options.tokenIntervalMillis = tokenIntervalMillis;
    options.prefillMicrosPerToken = 1;
    options.orderDurationMillis = 1;
    return new EngineServer(options, MillisClock.monotonic(), timers, materializer);
  }

  private static String listen(UpstreamProcess.Upstream upstream) throws Exception {
    Tcp.ServerBinding binding =
        HttpListener.listen(system, "127.0.0.1", 0, upstream::handle)
            .toCompletableFuture()
            .get(20, TimeUnit.SECONDS);
    return "127.0.0.1:" + binding.localAddress().getPort();
  }

  private static HttpRequest.Builder requestTo(String server, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + server + path)).timeout(TIMEOUT);
  }

  private HttpResponse<String> post(String server, String path, String body) throws Exception {
    HttpRequest request =
        requestTo(server, path).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private JsonNode stats(String server) throws Exception {
    HttpRequest request = requestTo(server, "/stats").build();
    return Json.parse(http.send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  @Example
  void streamedAndNonStreamedAnswersAreWholeWithAndWithoutTokenInterval() {
    ChatClient client = new ChatClient(Runnable::run, TIMEOUT);
    for (String server : List.of(pacedEngineAddress, unpacedEngineAddress)) {
      for (boolean stream : new boolean[] {true, false}) {
        ChatCall call =
            new ChatCall("", "", "", "hull-1", Prompt.ofUser("plan " + server), 50, stream);
        ChatReply reply = client.send(server, call).join();
        assertThat(reply.check().problem()).isEmpty();
        assertThat(reply.check().isComplete()).isTrue();
      }
    }
  }

  @Example
  void resumedStreamStartsAtTheOffsetAndUsageCoversTheWholeAnswer() throws Exception {
    String body =
        "{\"model\":\"hull-1\",\"stream\":true,\"max_tokens\":9,\"resume_from\":6,"
            + "\"request_id\":\"r-1\",\"messages\":[{\"role\":\"user\",\"content\":\"plan\"}]}";
    List<String> events =
        post(unpacedEngineAddress, "/v1/chat/completions", body)
            .body()
            .lines()
            .filter(l -> !l.isEmpty())
            .toList();
    assertThat(events).hasSize(5);
    IntStream.range(0, 3)
        .forEach(
            i -> {
              JsonNode event = Json.parse(events.get(i).substring("data: ".length()));
              assertThat(event.path("offset").asInt()).isEqualTo(6 + i);
              assertThat(event.path("request_id").asText()).isEqualTo("r-1");
            });
    JsonNode last = Json.parse(events.get(3).substring("data: ".length()));
    assertThat(last.at("/usage/completion_tokens").asInt()).isEqualTo(9);
    assertThat(events.get(4)).isEqualTo("data: [DONE]");
  }

  @Example
  void unknownModelAndMalformedBodyAreRefused() throws Exception {
    String body = "{\"model\":\"x\",\"messages\":[{\"role\":\"user\",\"content\":\"plan\"}]}";
    assertThat(post(unpacedEngineAddress, "/v1/chat/completions", body).statusCode())
        .isEqualTo(404);
    assertThat(post(unpacedEngineAddress, "/v1/chat/completions", "{").statusCode()).isEqualTo(400);
    assertThat(post(unpacedEngineAddress, "/v1/chat/completions", "{}").statusCode())
        .isEqualTo(400);
  }

  @Example
  void closingTheConnectionCancelsTheRequest() throws Exception {
    final String server = listen(engine(5));
    String body =
        "{\"model\":\"hull-1\",\"stream\":true,\"max_tokens\":100000,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"long plan 2\"}]}";
    HttpRequest request =
        requestTo(server, "/v1/chat/completions")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    http.send(request, HttpResponse.BodyHandlers.ofInputStream()).body().close();
    JsonNode stats = stats(server);
    while (stats.path("cancelled").asInt() == 0) {
      Thread.sleep(10);
      stats = stats(server);
    }
    assertThat(stats.path("running").asInt()).isZero();
    assertThat(stats.path("finished").asInt()).isZero();
  }

  @Example
  void orderWithAnOldFencingNumberIsAnsweredWithConflict() throws Exception {
    String order = "{\"order_id\":\"%s\",\"fencing\":%d,\"action\":\"load\",\"model\":\"hull-9\"}";
    String server = listen(engine(0));
    assertThat(post(server, "/v1/orders", order.formatted("a", 7)).statusCode()).isEqualTo(200);
    assertThat(post(server, "/v1/orders", order.formatted("b", 6)).statusCode()).isEqualTo(409);
  }

  @Example
  void droppedBookingIsCountedAndItsConnectionClosedWithoutAnAnswer() throws Exception {
    ServiceOptions options = new ServiceOptions();
    options.upstream.name = "service";
    options.fault = FaultMode.DROP;
    String server = listen(new ServiceServer(options, timers, materializer));
    HttpRequest booking =
        requestTo(server, "/bookings")
            .header("Idempotency-Key", "k-1")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    assertThatThrownBy(() -> http.send(booking, HttpResponse.BodyHandlers.ofString()))
        .isInstanceOf(IOException.class);
    assertThat(stats(server).at("/runs/k-1").asInt()).isEqualTo(1);
    post(server, "/fault", "{\"mode\":\"refuse\"}");
    assertThat(http.send(booking, HttpResponse.BodyHandlers.ofString()).statusCode())
        .isEqualTo(503);
    assertThat(stats(server).path("bookings").asInt()).isEqualTo(1);
  }
}
