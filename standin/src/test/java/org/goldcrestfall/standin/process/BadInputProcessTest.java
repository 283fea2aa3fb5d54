package org.goldcrestfall.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.io.Resources;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.goldcrestfall.core.common.ErrorKind;

/**
 * Guards against invalid input that is charged, is answered with the wrong error kind, or harms
 * other requests. The cases are in bad-input.jsonl, and all of them must pass.
 */
final class BadInputProcessTest {

  private static final int CASE_COUNT = 21;
  private static final int PAID_IN_TOKENS = 100_000;

  private static List<JsonNode> cases() throws Exception {
    List<JsonNode> cases = new ArrayList<>();
    for (String line :
        Resources.readLines(
            Resources.getResource(BadInputProcessTest.class, "bad-input.jsonl"),
            StandardCharsets.UTF_8)) {
      cases.add(ProcessCluster.MAPPER.readTree(line));
    }
    return cases;
  }

  private static HttpResponse<String> send(ProcessCluster cluster, String key, JsonNode testCase)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder()
            .header("Content-Type", "application/json")
            .header("Authorization", "Bearer " + testCase.path("key").asText(key));
    if (testCase.has("patience")) {
      request.header("Goldcrestfall-Patience", testCase.get("patience").asText());
    }
    if (testCase.has("id_chars")) {
      request.header("Idempotency-Key", "i".repeat(testCase.get("id_chars").asInt()));
    }
    if (testCase.has("header_bytes")) {
      request.header("X-Filler", "f".repeat(testCase.get("header_bytes").asInt()));
    }
    String content = "x".repeat(testCase.path("content_bytes").asInt());
    String body = testCase.get("body").asText().replace("CONTENT", content);
    request.POST(HttpRequest.BodyPublishers.ofString(body));
    return cluster.send(
        cluster.hosts().get(0), request, testCase.path("path").asText("/v1/chat/completions"));
  }

  @Example
  void badInputIsRefusedWithItsErrorKindAndNotCharged() throws Exception {
    Path folder = Files.createTempDirectory(Path.of("target"), "input").toAbsolutePath();
    try (ProcessCluster cluster = new ProcessCluster(folder, 1)) {
      cluster.confirm(
          "{\"type\": \"create_workspace\", \"name\": \"yard\", \"default_class\": \"patient\","
              + " \"tradeoff\": \"STRICT\"}");
      cluster.confirm(
          "{\"type\": \"top_up_budget\", \"workspace\": \"yard\", \"tokens\": %d}"
              .formatted(PAID_IN_TOKENS));
      cluster.confirm(
          "{\"type\": \"define_service\", \"name\": \"mill\", \"price_tokens\": 5,"
              + " \"idempotent_methods\": [\"GET\"]}");
      String key = cluster.createKey("yard");
      // createKey sends one lookup of 5 tokens to each host, which is settled later.
      long settledBefore = 5L * cluster.hosts().size();
      ProcessCluster.await(
          "the lookups to be settled", () -> settledTokens(cluster) == settledBefore);
      int passed = 0;
      for (JsonNode testCase : cases()) {
        String name = testCase.get("name").asText();
        // A router that has just started answers 503 until it can tell that a model is unknown.
        ProcessCluster.await(name, () -> send(cluster, key, testCase).statusCode() != 503);
        HttpResponse<String> response = send(cluster, key, testCase);
        assertThat(response.statusCode())
            .as(name + ": " + response.body())
            .isEqualTo(testCase.get("status").asInt());
        JsonNode error = ProcessCluster.MAPPER.readTree(response.body()).path("error");
        assertThat(error.path("kind").asText()).as(name).isEqualTo(testCase.get("kind").asText());
        assertThat(error.path("run").asText()).as(name).isEqualTo("not_run");
        passed++;
      }
      assertThat(passed).isEqualTo(CASE_COUNT);
      assertThat(settledTokens(cluster)).isEqualTo(settledBefore);
      checkReusedRequestIdAndRevokedKeyAreRefused(cluster, key);
    }
  }

  private static void checkReusedRequestIdAndRevokedKeyAreRefused(
      ProcessCluster cluster, String key) throws Exception {
    String host = cluster.hosts().get(0);
    String other = cluster.hosts().get(1);
    assertThat(cluster.chat(host, key, "used", "first body", 5).statusCode()).isEqualTo(200);
    for (String h : List.of(host, other)) {
      HttpResponse<String> reused = cluster.chat(h, key, "used", "second body", 5);
      assertThat(reused.statusCode()).isEqualTo(ErrorKind.REQUEST_ID_REUSED.status());
    }
    cluster.confirm("{\"type\": \"revoke_key\", \"workspace\": \"yard\", \"key_id\": \"k4\"}");
    ProcessCluster.await(
        "the revocation",
        () -> cluster.chat(host, key, "late", "late", 5).body().contains("key_revoked"));
  }

  private static long settledTokens(ProcessCluster cluster) throws Exception {
    return cluster.admin("GET", cluster.leader(), "budgets/yard", null).path("settled").asLong();
  }
}
