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

/** Compares the outcome of bookings with the runs that the stand-in services counted. */
final class ServiceAudit {

  /** Bookings that ran more than once, and bookings that ran although they were refused. */
  record Result(long doubled, long refusedButRan) {}

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  private final LoadOptions options;
  private final LoadStatistics statistics;
  private final Map<String, AttemptResult> outcomes = new ConcurrentHashMap<>();

  ServiceAudit(LoadOptions options, LoadStatistics tally) {
    this.options = options;
    this.statistics = tally;
  }

  void onRequestFinished(TraceEntry entry, AttemptResult last) {
    if (entry.kind() == TraceEntry.Kind.BOOKING) {
      outcomes.put(entry.id(), last);
    }
  }

  Result check() throws Exception {
    if (options.serviceStats.isEmpty()) {
      return new Result(0, 0);
    }
    return compare(outcomes, fetchRunCounts(), statistics);
  }

  /** Compares outcomes with the count of runs of each id. */
  static Result compare(
      Map<String, AttemptResult> outcomes, Map<String, Integer> runs, LoadStatistics tally) {
    long doubled = 0;
    long refusedButRan = 0;
    for (Map.Entry<String, AttemptResult> outcome : outcomes.entrySet()) {
      int count = runs.getOrDefault(outcome.getKey(), 0);
      if (count > 1) {
        doubled++;
        tally.addProblem(outcome.getKey() + ": ran " + count + " times");
      }
      if (count > 0 && outcome.getValue().notRun()) {
        refusedButRan++;
        tally.addProblem(
            outcome.getKey() + ": ran, but was refused: " + outcome.getValue().errorKind());
      }
    }
    return new Result(doubled, refusedButRan);
  }

  private Map<String, Integer> fetchRunCounts() throws Exception {
    HttpClient http = ChatClient.newHttpClient(Runnable::run);
    Map<String, Integer> runs = new HashMap<>();
    for (String service : options.serviceStats) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + service + "/stats"))
              .timeout(REQUEST_TIMEOUT)
              .build();
      String body = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
      JsonNode counts = Json.parse(body).path("runs");
      counts
          .fields()
          .forEachRemaining(
              field -> runs.merge(field.getKey(), field.getValue().asInt(), Integer::sum));
    }
    return runs;
  }
}
