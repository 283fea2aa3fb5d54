package org.goldcrestfall.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A daemon that returns canned responses and records the requests. */
final class FakeDaemon implements AutoCloseable {

  /** A request as received; {@code requestLine} is its method and path. */
  record RecordedRequest(String requestLine, String authorization, String body) {}

  private record CannedResponse(int status, String body) {}

  private final Map<String, CannedResponse> responses = new ConcurrentHashMap<>();
  private final List<RecordedRequest> requests = new CopyOnWriteArrayList<>();
  private final HttpServer server;

  FakeDaemon() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Sets the response to requests with this method and path. */
  FakeDaemon respond(String requestLine, int status, String body) {
    responses.put(requestLine, new CannedResponse(status, body));
    return this;
  }

  /** Sets the response to an error of this kind. */
  FakeDaemon respondWithError(String requestLine, int status, String kind) {
    return respond(
        requestLine, status, "{\"error\":{\"kind\":\"" + kind + "\",\"message\":\"the message\"}}");
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  List<RecordedRequest> requests() {
    return List.copyOf(requests);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String requestLine = exchange.getRequestMethod() + " " + exchange.getRequestURI();
    requests.add(
        new RecordedRequest(
            requestLine,
            exchange.getRequestHeaders().getFirst("Authorization"),
            new String(exchange.getRequestBody().readAllBytes(), UTF_8)));
    CannedResponse response =
        responses.getOrDefault(
            requestLine, new CannedResponse(404, "no answer for " + requestLine));
    byte[] body = response.body().getBytes(UTF_8);
    exchange.sendResponseHeaders(response.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
