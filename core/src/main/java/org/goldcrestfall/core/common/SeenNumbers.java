package org.goldcrestfall.core.common;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The set of numbers of a sequence starting at 1 that were seen, in any order. It stores the length
 * of the gapless prefix and the numbers beyond it, so its size is bounded by the reordering.
 */
public final class SeenNumbers {

  private long through;
  private final TreeSet<Long> ahead = new TreeSet<>();

  /** Creates an empty set. */
  public SeenNumbers() {}

  /** Creates a set with the numbers 1 to {@code through} and those in {@code ahead}. */
  public SeenNumbers(long through, List<Long> ahead) {
    this.through = through;
    this.ahead.addAll(ahead);
  }

  /** Adds a number and returns whether it is new. */
  public boolean add(long number) {
    if (number <= through || !ahead.add(number)) {
      return false;
    }
    while (!ahead.isEmpty() && ahead.first() == through + 1) {
      ahead.pollFirst();
      through++;
    }
    return true;
  }

  /** Returns whether the number was added. */
  public boolean contains(long number) {
    return number >= 1 && (number <= through || ahead.contains(number));
  }

  /** Returns the length of the gapless prefix. */
  public long through() {
    return through;
  }

  /** Returns the numbers beyond the gapless prefix in ascending order. */
  public List<Long> ahead() {
    return new ArrayList<>(ahead);
  }
}
