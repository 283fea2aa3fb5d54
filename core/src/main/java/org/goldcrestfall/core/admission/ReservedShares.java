package org.goldcrestfall.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;

/**
 * Reserved shares of the capacity by patience class, in thousandths. A class that is not listed has
 * no reserved share and uses only spare capacity.
 */
public record ReservedShares(Map<String, Integer> perMille) {

  /** Checks that the shares add up to at most 1,000, and copies the map. */
  public ReservedShares {
    perMille = Map.copyOf(perMille);
    int sum = perMille.values().stream().mapToInt(Integer::intValue).sum();
    checkArgument(sum <= 1000, "reserved shares must add up to at most 1,000 thousandths: %s", sum);
  }

  /** Returns how many of {@code slots} slots are reserved for a class. */
  public double reserved(String patienceClass, double slots) {
    return perMille.getOrDefault(patienceClass, 0) * slots / 1000.0;
  }
}
