package org.goldcrestfall.core.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tells outages, which have nothing to do with requests, from other crashes of upstreams. */
final class Outages {

  /** Time between two crashes up to which these may have the same cause outside the requests. */
  static final long SIMULTANEOUS_MILLIS = 100;

  /** Duration of a series of such crashes from which on these are no outage. */
  static final long MAX_OUTAGE_MILLIS = 200;

  /** Number of crashes in such a series from which on these are an outage. */
  static final int OUTAGE_CRASHES = 3;

  private Outages() {}

  /**
   * Returns those of a service's crashes that happened at the same time as several others.
   *
   * @param atMillis the time of each crash
   */
  static Set<Crash> find(Map<Crash, Long> atMillis) {
    List<Map.Entry<Crash, Long>> sorted = new ArrayList<>(atMillis.entrySet());
    sorted.sort(Map.Entry.comparingByValue());
    Set<Crash> outages = new HashSet<>();
    int first = 0;
    for (int i = 0; i < sorted.size(); i++) {
      boolean isLast =
          i + 1 == sorted.size()
              || sorted.get(i + 1).getValue() - sorted.get(i).getValue() > SIMULTANEOUS_MILLIS;
      if (!isLast) {
        continue;
      }
      long lasted = sorted.get(i).getValue() - sorted.get(first).getValue();
      if (i - first + 1 >= OUTAGE_CRASHES && lasted <= MAX_OUTAGE_MILLIS) {
        sorted.subList(first, i + 1).forEach(e -> outages.add(e.getKey()));
      }
      first = i + 1;
    }
    return outages;
  }
}
