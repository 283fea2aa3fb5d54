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
 * Calls the operator interface of the daemons (design page, section 6). A server that does not
 * answer or has no quorum is passed over; repeating a change is safe because it carries an
 * operation id.
 */
final class AdminClient {

  private static final Set<String> PASSED_OVER = Set.of("no_quorum", "draining");
  private static final Set<String> CONFLICTS = Set.of("plan_conflict", "plan_closed");

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

  /** Sends a read. */
  JsonNode get(String path) {
    return send("GET", path, "");
  }

  /** Sends a change. */
  JsonNode post(String path, JsonNode body) {
    return send("POST", path, body.toString());
  }

  private JsonNode send(String method, String path, String body) {
    String problem = "";
    for (String server : servers) {
      HttpResponse<String> response;
      try {
        response = http.send(request(server, method, path, body), utf8());
      } catch (IOException e) {
        problem = server + " is not reachable: " + reason(e);
        continue;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new CommandFailure(ExitCode.NOT_REACHABLE, "interrupted");
      }
      JsonNode json = parse(response.body());
      if (response.statusCode() / 100 == 2) {
        if (json.isMissingNode()) {
          throw new CommandFailure(ExitCode.REFUSED, server + " answered without JSON");
        }
        return json;
      }
      String kind = json.at("/error/kind").asText("status_" + response.statusCode());
      String message = kind + ": " + json.at("/error/message").asText("no message");
      if (!PASSED_OVER.contains(kind)) {
        ExitCode exitCode = CONFLICTS.contains(kind) ? ExitCode.CONFLICT : ExitCode.REFUSED;
        throw new CommandFailure(exitCode, message);
      }
      problem = server + " answered " + message;
    }
    throw new CommandFailure(ExitCode.NOT_REACHABLE, problem);
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
      throw new CommandFailure(ExitCode.USAGE, "--server: " + server + ", expected ip:port");
    }
  }

  private JsonNode parse(String body) {
    try {
      return mapper.readTree(body);
    } catch (JsonProcessingException e) {
      return MissingNode.getInstance();
    }
  }

  private static HttpResponse.BodyHandler<String> utf8() {
    return HttpResponse.BodyHandlers.ofString(java.nio.charset.StandardCharsets.UTF_8);
  }

  private static String reason(IOException failure) {
    return failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
  }
}
