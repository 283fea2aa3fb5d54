package org.goldcrestfall.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;

/**
 * Reserved share of the capacity of each patience class, in thousandths. A class that is not listed
 * has no share and runs on spare capacity.
 */
public record Shares(Map<String, Integer> perMille) {

  /** Checks that the shares add up to at most 1,000 and copies the map. */
  public Shares {
    perMille = Map.copyOf(perMille);
    int sum = perMille.values().stream().mapToInt(Integer::intValue).sum();
    checkArgument(sum <= 1000, "shares add up to %s thousandths", sum);
  }

  /** Returns the reserved slots of a class out of {@code slots}. */
  public double reserved(String patienceClass, double slots) {
    return perMille.getOrDefault(patienceClass, 0) * slots / 1000.0;
  }
}
