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
 * Guards against bad input that is charged, is answered with the wrong kind, or harms other
 * requests. The cases are in bad-input.jsonl; all of them must pass.
 */
final class BadInputProcessTest {

  private static final int CASE_COUNT = 21;
  private static final int PAID_IN_TOKENS = 100_000;

  private static List<JsonNode> cases() throws Exception {
    List<JsonNode> out = new ArrayList<>();
    for (String line :
        Resources.readLines(
            Resources.getResource(BadInputProcessTest.class, "bad-input.jsonl"),
            StandardCharsets.UTF_8)) {
      out.add(ProcessCluster.MAPPER.readTree(line));
    }
    return out;
  }

  private static HttpResponse<String> send(ProcessCluster f, String key, JsonNode c)
      throws Exception {
    HttpRequest.Builder r =
        HttpRequest.newBuilder()
            .header("Content-Type", "application/json")
            .header("Authorization", "Bearer " + c.path("key").asText(key));
    if (c.has("patience")) {
      r.header("Goldcrestfall-Patience", c.get("patience").asText());
    }
    if (c.has("id_chars")) {
      r.header("Idempotency-Key", "i".repeat(c.get("id_chars").asInt()));
    }
    if (c.has("header_bytes")) {
      r.header("X-Filler", "f".repeat(c.get("header_bytes").asInt()));
    }
    String content = "x".repeat(c.path("content_bytes").asInt());
    String body = c.get("body").asText().replace("CONTENT", content);
    r.POST(HttpRequest.BodyPublishers.ofString(body));
    return f.send(f.hosts().get(0), r, c.path("path").asText("/v1/chat/completions"));
  }

  @Example
  void badInputIsRefusedWithItsErrorKindAndNotCharged() throws Exception {
    Path folder = Files.createTempDirectory(Path.of("target"), "input").toAbsolutePath();
    try (ProcessCluster f = new ProcessCluster(folder, 1)) {
      f.confirm(
          "{\"type\": \"create_workspace\", \"name\": \"yard\", \"default_class\": \"patient\","
              + " \"tradeoff\": \"STRICT\"}");
      f.confirm(
          "{\"type\": \"top_up_budget\", \"workspace\": \"yard\", \"tokens\": %d}"
              .formatted(PAID_IN_TOKENS));
      f.confirm(
          "{\"type\": \"define_service\", \"name\": \"mill\", \"price_tokens\": 5,"
              + " \"idempotent_methods\": [\"GET\"]}");
      String key = f.createKey("yard");
      // Making the key includes one lookup of 5 tokens on each host, which is settled later.
      long before = 5L * f.hosts().size();
      ProcessCluster.await("the lookups to be settled", () -> settledTokens(f) == before);
      int passed = 0;
      for (JsonNode c : cases()) {
        String name = c.get("name").asText();
        // A router that has just started does not know yet that a model is unknown.
        ProcessCluster.await(name, () -> send(f, key, c).statusCode() != 503);
        HttpResponse<String> a = send(f, key, c);
        assertThat(a.statusCode()).as(name + ": " + a.body()).isEqualTo(c.get("status").asInt());
        JsonNode error = ProcessCluster.MAPPER.readTree(a.body()).path("error");
        assertThat(error.path("kind").asText()).as(name).isEqualTo(c.get("kind").asText());
        assertThat(error.path("run").asText()).as(name).isEqualTo("not_run");
        passed++;
      }
      assertThat(passed).isEqualTo(CASE_COUNT);
      assertThat(settledTokens(f)).isEqualTo(before);
      checkReusedRequestIdAndRevokedKeyAreRefused(f, key);
    }
  }

  private static void checkReusedRequestIdAndRevokedKeyAreRefused(ProcessCluster f, String key)
      throws Exception {
    String host = f.hosts().get(0);
    String other = f.hosts().get(1);
    assertThat(f.chat(host, key, "used", "first body", 5).statusCode()).isEqualTo(200);
    for (String h : List.of(host, other)) {
      HttpResponse<String> reused = f.chat(h, key, "used", "second body", 5);
      assertThat(reused.statusCode()).isEqualTo(ErrorKind.REQUEST_ID_REUSED.status());
    }
    f.confirm("{\"type\": \"revoke_key\", \"workspace\": \"yard\", \"key_id\": \"k4\"}");
    ProcessCluster.await(
        "the revocation",
        () -> f.chat(host, key, "late", "late", 5).body().contains("key_revoked"));
  }

  private static long settledTokens(ProcessCluster f) throws Exception {
    return f.admin("GET", f.leader(), "budgets/yard", null).path("settled").asLong();
  }
}
