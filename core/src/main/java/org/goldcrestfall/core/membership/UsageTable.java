package org.goldcrestfall.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Recent use of rate limits by each router, in requests a second times 1,000. A report of a higher
 * sequence replaces a lower one; a report that is not renewed is dropped.
 */
public final class UsageTable {

  static final long TTL_MILLIS = 10_000;

  private final Map<String, Map<String, Entry>> limits = new HashMap<>();

  /** The use of a limit by a router. */
  public record Usage(String host, String limit, long milliRate, long sequence) {}

  private record Entry(Usage usage, long atMillis) {}

  /** Takes in a report and returns whether it is newer than the known one. */
  public boolean accept(Usage usage, long now) {
    var hosts = limits.computeIfAbsent(usage.limit(), l -> new TreeMap<>());
    Entry known = hosts.get(usage.host());
    if (known != null && known.usage().sequence() >= usage.sequence()) {
      return false;
    }
    hosts.put(usage.host(), new Entry(usage, now));
    return true;
  }

  /** Drops reports that were not renewed. */
  public void tick(long now) {
    limits.values().forEach(h -> h.values().removeIf(e -> now - e.atMillis() >= TTL_MILLIS));
    limits.values().removeIf(Map::isEmpty);
  }

  /** Returns the reports of a host. */
  public List<Usage> of(String host) {
    List<Usage> reports = new ArrayList<>();
    for (Map<String, Entry> hosts : limits.values()) {
      Entry e = hosts.get(host);
      if (e != null) {
        reports.add(e.usage());
      }
    }
    return reports;
  }

  /** Returns the rate of each host by limit, for readers on other threads. */
  public Map<String, Map<String, Long>> rates() {
    Map<String, Map<String, Long>> copy = new HashMap<>();
    limits.forEach(
        (limit, hosts) -> {
          Map<String, Long> rates = new HashMap<>();
          hosts.forEach((host, e) -> rates.put(host, e.usage().milliRate()));
          copy.put(limit, Map.copyOf(rates));
        });
    return Map.copyOf(copy);
  }
}
