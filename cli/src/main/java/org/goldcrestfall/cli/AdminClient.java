package org.goldcrestfall.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * The HTTP client of the daemons' operator interface (section 6 of the design). If a server does
 * not respond, is draining or has no quorum, the request goes to the next one; repeating a change
 * is safe because it carries an operation id.
 */
final class AdminClient {

  private static final Set<String> FAILOVER_ERROR_KINDS = Set.of("no_quorum", "draining");
  private static final Set<String> CONFLICT_ERROR_KINDS = Set.of("plan_conflict", "plan_closed");

  private final ObjectMapper mapper;
  private final HttpClient http;
  private final List<String> servers;
  private final String token;
  private final Duration timeout;

  AdminClient(ObjectMapper mapper, List<String> servers, String token, Duration timeout) {
    this.mapper = mapper;
    this.servers = List.copyOf(servers);
    this.token = token;
    this.timeout = timeout;
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  /**
   * Reads a resource.
   *
   * @throws CommandException if no server responds, or one refuses the request
   */
  JsonNode get(String path) {
    return send("GET", path, "");
  }

  /**
   * Submits a change.
   *
   * @throws CommandException if no server responds, or one refuses the request
   */
  JsonNode post(String path, JsonNode body) {
    return send("POST", path, body.toString());
  }

  private JsonNode send(String method, String path, String body) {
    String lastFailure = "";
    for (String server : servers) {
      HttpResponse<String> response;
      try {
        response = http.send(request(server, method, path, body), utf8BodyHandler());
      } catch (IOException e) {
        lastFailure = server + " is not reachable: " + describe(e);
        continue;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new CommandException(ExitCode.NOT_REACHABLE, "interrupted");
      }
      JsonNode json = parseOrMissing(response.body());
      if (response.statusCode() / 100 == 2) {
        if (json.isMissingNode()) {
          throw new CommandException(
              ExitCode.REFUSED, server + " returned a body that is not JSON");
        }
        return json;
      }
      String kind = json.at("/error/kind").asText("status_" + response.statusCode());
      String message = kind + ": " + json.at("/error/message").asText("no message");
      if (!FAILOVER_ERROR_KINDS.contains(kind)) {
        ExitCode exitCode =
            CONFLICT_ERROR_KINDS.contains(kind) ? ExitCode.CONFLICT : ExitCode.REFUSED;
        throw new CommandException(exitCode, message);
      }
      lastFailure = server + " answered " + message;
    }
    throw new CommandException(ExitCode.NOT_REACHABLE, lastFailure);
  }

  private HttpRequest request(String server, String method, String path, String body) {
    String base = server.contains("://") ? server : "http://" + server;
    try {
      return HttpRequest.newBuilder(URI.create(base + path))
          .timeout(timeout)
          .header("Authorization", "Bearer " + token)
          .header("Content-Type", "application/json")
          .method(method, HttpRequest.BodyPublishers.ofString(body))
          .build();
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.USAGE, "--server: " + server + ", expected ip:port");
    }
  }

  private JsonNode parseOrMissing(String body) {
    try {
      return mapper.readTree(body);
    } catch (JsonProcessingException e) {
      return MissingNode.getInstance();
    }
  }

  private static HttpResponse.BodyHandler<String> utf8BodyHandler() {
    return HttpResponse.BodyHandlers.ofString(java.nio.charset.StandardCharsets.UTF_8);
  }

  private static String describe(IOException failure) {
    return failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
  }
}
