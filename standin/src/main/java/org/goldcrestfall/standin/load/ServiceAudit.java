package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.goldcrestfall.standin.client.ChatClient;
import org.goldcrestfall.standin.upstream.Json;

/** Compares the outcomes of bookings with the run counts of the stand-in services. */
final class ServiceAudit {

  /** Numbers of bookings that ran more than once, and that ran although refused as not run. */
  record Result(long doubled, long refusedButRan) {}

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  private final LoadOptions options;
  private final LoadStatistics statistics;
  private final Map<String, AttemptResult> outcomes = new ConcurrentHashMap<>();

  ServiceAudit(LoadOptions options, LoadStatistics statistics) {
    this.options = options;
    this.statistics = statistics;
  }

  void onRequestFinished(TraceEntry entry, AttemptResult last) {
    if (entry.kind() == TraceEntry.Kind.BOOKING) {
      outcomes.put(entry.id(), last);
    }
  }

  Result check() throws Exception {
    if (options.serviceServers.isEmpty()) {
      return new Result(0, 0);
    }
    return compare(outcomes, fetchRunCounts(), statistics);
  }

  /** Compares outcomes with run counts, both by request id; faults are added as problems. */
  static Result compare(
      Map<String, AttemptResult> outcomes,
      Map<String, Integer> runCounts,
      LoadStatistics statistics) {
    long doubled = 0;
    long refusedButRan = 0;
    for (Map.Entry<String, AttemptResult> outcome : outcomes.entrySet()) {
      int count = runCounts.getOrDefault(outcome.getKey(), 0);
      if (count > 1) {
        doubled++;
        statistics.addProblem(outcome.getKey() + ": ran " + count + " times");
      }
      if (count > 0 && outcome.getValue().notRun()) {
        refusedButRan++;
        statistics.addProblem(
            outcome.getKey() + ": ran, but was refused: " + outcome.getValue().errorKind());
      }
    }
    return new Result(doubled, refusedButRan);
  }

  private Map<String, Integer> fetchRunCounts() throws Exception {
    HttpClient http = ChatClient.newHttpClient(Runnable::run);
    Map<String, Integer> runCounts = new HashMap<>();
    for (String service : options.serviceServers) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + service + "/stats"))
              .timeout(REQUEST_TIMEOUT)
              .build();
      String body = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
      JsonNode counts = Json.parse(body).path("runs");
      counts
          .fields()
          .forEachRemaining(
              field -> runCounts.merge(field.getKey(), field.getValue().asInt(), Integer::sum));
    }
    return runCounts;
  }
}
