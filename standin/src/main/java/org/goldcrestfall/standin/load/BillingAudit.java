package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.client.ChatClient;
import org.goldcrestfall.standin.upstream.Json;

/**
 * Compares the billing records of a workspace with the answers and with the settled tokens of its
 * budget. The records are collected while the load runs because the operator API lists only the
 * newest ones.
 */
final class BillingAudit {

  /**
   * Result of an audit.
   *
   * @param billedTwice requests billed more than once, plus 1 if more tokens are settled than the
   *     records add up to
   * @param billedWrong requests billed for other token counts than the answer had
   * @param unbilled answered requests without a billing record
   */
  record Result(long billedTwice, long billedWrong, long unbilled) {}

  private static final int MAX_LISTED_RECORDS = 1000;
  private static final int MAX_SETTLE_POLLS = 50;
  private static final long SETTLE_POLL_INTERVAL_MILLIS = 200;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private final LoadOptions options;
  private final LoadStatistics statistics;
  private final HttpClient http = ChatClient.newHttpClient(Runnable::run);
  private final Map<String, TraceEntry> answered = new ConcurrentHashMap<>();
  private final Map<String, JsonNode> records = new HashMap<>();
  private final Map<String, JsonNode> bookings = new HashMap<>();
  private final Set<String> billedTwice = new HashSet<>();
  private long settledTokensBefore;

  BillingAudit(LoadOptions options, LoadStatistics statistics) {
    this.options = options;
    this.statistics = statistics;
  }

  boolean isEnabled() {
    return !options.adminServers.isEmpty() && !options.workspace.isEmpty();
  }

  /** Reads the tokens that were settled before the run; must be called before the first request. */
  void start() throws InterruptedException {
    settledTokensBefore = get("/admin/v1/budgets/" + options.workspace).path("settled").asLong();
  }

  void onRequestFinished(TraceEntry entry, AttemptResult last) {
    if (isEnabled() && last.isComplete()) {
      answered.put(entry.id(), entry);
    }
  }

  /**
   * Reads the newest records. Records are missed if more than {@value #MAX_LISTED_RECORDS} are
   * added between two calls.
   */
  void poll() throws InterruptedException {
    String query = "?limit=" + MAX_LISTED_RECORDS + "&workspace=" + options.workspace;
    Set<String> seen = new HashSet<>();
    for (JsonNode record : get("/admin/v1/billing" + query).path("records")) {
      addRecord(record, records, seen);
    }
    seen.clear();
    for (JsonNode booking : get("/admin/v1/bookings" + query).path("bookings")) {
      bookings.put(booking.path("request_id").asText(), booking);
    }
  }

  /** Waits for a limited time until every answered request is billed, then checks the records. */
  Result check() throws InterruptedException {
    if (!isEnabled()) {
      return new Result(0, 0, 0);
    }
    long unbilled = Long.MAX_VALUE;
    for (int i = 0; i < MAX_SETTLE_POLLS && unbilled > 0; i++) {
      poll();
      unbilled = answered.keySet().stream().filter(id -> !isBilled(id)).count();
      Thread.sleep(SETTLE_POLL_INTERVAL_MILLIS);
    }
    poll();
    long settled =
        get("/admin/v1/budgets/" + options.workspace).path("settled").asLong()
            - settledTokensBefore;
    long billed = billedTokens();
    if (settled != billed) {
      statistics.addProblem("settled " + settled + " tokens, but the records sum up to " + billed);
    }
    answered.keySet().stream()
        .filter(id -> !isBilled(id))
        .limit(5)
        .forEach(id -> statistics.addProblem(id + ": answered, but not billed"));
    long wrong = answered.values().stream().filter(this::isBilledWrong).count();
    return new Result(billedTwice.size() + (settled > billed ? 1 : 0), wrong, unbilled);
  }

  /**
   * Adds a record of this run. A request counts as billed twice if its record differs from the
   * known one, or if its id is already in {@code seen}, the ids of the current listing.
   */
  private void addRecord(JsonNode record, Map<String, JsonNode> known, Set<String> seen) {
    String id = record.path("request_id").asText();
    if (!id.startsWith(options.idempotencyKeyPrefix + "-" + options.seed + "-")) {
      return;
    }
    JsonNode previous = known.put(id, record);
    if (!seen.add(id) || previous != null && !previous.equals(record)) {
      billedTwice.add(id);
      statistics.addProblem(id + ": billed twice: " + previous + " and " + record);
    }
  }

  private boolean isBilled(String id) {
    return records.containsKey(id) || bookings.containsKey(id);
  }

  private boolean isBilledWrong(TraceEntry entry) {
    JsonNode record = records.get(entry.id());
    if (record == null || !entry.isChat()) {
      return false;
    }
    int expectedOutputTokens = Answer.to(entry.prompt()).tokenCount(entry.maxTokens());
    boolean wrong =
        record.path("output_tokens").asInt() != expectedOutputTokens
            || record.path("prompt_tokens").asInt() != entry.prompt().tokenCount();
    if (wrong) {
      statistics.addProblem(
          entry.id() + ": billed as " + record + " for " + expectedOutputTokens + " output tokens");
    }
    return wrong;
  }

  /** Returns the tokens of all records and of the unrefunded bookings that have no record. */
  private long billedTokens() {
    long sum = records.values().stream().mapToLong(r -> r.path("tokens").asLong()).sum();
    for (JsonNode booking : bookings.values()) {
      String id = booking.path("request_id").asText();
      boolean ofThisRun = id.startsWith(options.idempotencyKeyPrefix + "-" + options.seed + "-");
      boolean refunded = booking.path("outcome").asText().equalsIgnoreCase("not_run");
      sum +=
          ofThisRun && !refunded && !records.containsKey(id) ? booking.path("tokens").asLong() : 0;
    }
    return sum;
  }

  /** Returns the response of the first daemon that answers, or an empty object if none does. */
  private JsonNode get(String path) throws InterruptedException {
    for (String server : options.adminServers) {
      try {
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://" + server + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + options.operatorToken)
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() == 200) {
          return Json.parse(response.body());
        }
        statistics.addProblem(server + path + " answered " + response.statusCode());
      } catch (IOException e) {
        statistics.addProblem(server + path + ": " + e);
      }
    }
    return Json.parse("{}");
  }
}
