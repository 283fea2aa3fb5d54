package org.goldcrestfall.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The recent usage of each rate limit by each router. A report with a higher sequence replaces one
 * with a lower sequence; a report that is not renewed within {@link #TTL_MILLIS} is removed.
 */
public final class UsageTable {

  static final long TTL_MILLIS = 10_000;

  private final Map<String, Map<String, Entry>> reportsByLimit = new HashMap<>();

  /** The usage of a limit by a router; {@code milliRate} is in 1/1,000 request per second. */
  public record Usage(String host, String limit, long milliRate, long sequence) {}

  private record Entry(Usage usage, long receivedAtMillis) {}

  /** Adds a report and returns whether it is newer than the known one. */
  public boolean accept(Usage usage, long nowMillis) {
    var reportsByHost = reportsByLimit.computeIfAbsent(usage.limit(), l -> new TreeMap<>());
    Entry known = reportsByHost.get(usage.host());
    if (known != null && known.usage().sequence() >= usage.sequence()) {
      return false;
    }
    reportsByHost.put(usage.host(), new Entry(usage, nowMillis));
    return true;
  }

  /** Removes reports that were not renewed in time. */
  public void tick(long nowMillis) {
    reportsByLimit
        .values()
        .forEach(h -> h.values().removeIf(e -> nowMillis - e.receivedAtMillis() >= TTL_MILLIS));
    reportsByLimit.values().removeIf(Map::isEmpty);
  }

  /** Returns the reports of the router on {@code host}. */
  public List<Usage> of(String host) {
    List<Usage> reports = new ArrayList<>();
    for (Map<String, Entry> reportsByHost : reportsByLimit.values()) {
      Entry e = reportsByHost.get(host);
      if (e != null) {
        reports.add(e.usage());
      }
    }
    return reports;
  }

  /**
   * Returns the rate of each host by limit, in 1/1,000 request per second, as an immutable copy for
   * readers on other threads.
   */
  public Map<String, Map<String, Long>> rates() {
    Map<String, Map<String, Long>> copy = new HashMap<>();
    reportsByLimit.forEach(
        (limit, reportsByHost) -> {
          Map<String, Long> rates = new HashMap<>();
          reportsByHost.forEach((host, e) -> rates.put(host, e.usage().milliRate()));
          copy.put(limit, Map.copyOf(rates));
        });
    return Map.copyOf(copy);
  }
}
