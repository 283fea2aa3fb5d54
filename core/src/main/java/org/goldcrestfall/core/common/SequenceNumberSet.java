package org.goldcrestfall.core.common;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The set of received sequence numbers, which start at 1 and may arrive in any order. It stores the
 * length of the contiguous prefix and the numbers beyond it, so its size depends only on how far
 * the numbers arrive out of order.
 */
public final class SequenceNumberSet {

  private long through;
  private final TreeSet<Long> ahead = new TreeSet<>();

  /** Creates an empty set. */
  public SequenceNumberSet() {}

  /** Creates a set with the numbers 1 to {@code through} and those in {@code ahead}. */
  public SequenceNumberSet(long through, List<Long> ahead) {
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

  /** Returns the last number of the contiguous prefix, or 0 if it is empty. */
  public long through() {
    return through;
  }

  /** Returns the numbers beyond the contiguous prefix in ascending order. */
  public List<Long> ahead() {
    return new ArrayList<>(ahead);
  }
}
