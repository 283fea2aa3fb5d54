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

/** A daemon that gives fixed answers and notes the requests. */
final class FakeDaemon implements AutoCloseable {

  /** A request as it arrived. */
  record Seen(String line, String authorization, String body) {}

  private record Answer(int status, String body) {}

  private final Map<String, Answer> answers = new ConcurrentHashMap<>();
  private final List<Seen> requests = new CopyOnWriteArrayList<>();
  private final HttpServer server;

  FakeDaemon() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  FakeDaemon on(String line, int status, String body) {
    answers.put(line, new Answer(status, body));
    return this;
  }

  FakeDaemon error(String line, int status, String kind) {
    return on(line, status, "{\"error\":{\"kind\":\"" + kind + "\",\"message\":\"the message\"}}");
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  List<Seen> requests() {
    return List.copyOf(requests);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String line = exchange.getRequestMethod() + " " + exchange.getRequestURI();
    requests.add(
        new Seen(
            line,
            exchange.getRequestHeaders().getFirst("Authorization"),
            new String(exchange.getRequestBody().readAllBytes(), UTF_8)));
    Answer answer = answers.getOrDefault(line, new Answer(404, "no answer for " + line));
    byte[] body = answer.body().getBytes(UTF_8);
    exchange.sendResponseHeaders(answer.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
