package org.goldcrestfall.core.common;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Longs;
import java.util.Optional;

/**
 * A number of tokens that a request, a peer or a configuration states; never negative. Counts from
 * {@link #MAX} on are equal to it: no balance is that large, and sums of thousands of counts do not
 * overflow a long.
 */
public record TokenCount(long value) implements Comparable<TokenCount> {

  /** No tokens. */
  public static final TokenCount ZERO = new TokenCount(0);

  /** Stands for all counts that are larger than any balance. */
  public static final TokenCount MAX = new TokenCount(1_000_000_000_000_000L);

  /** The largest balance in tokens. */
  public static final long MAX_BALANCE = MAX.value - 1;

  private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

  /** Checks the argument. */
  public TokenCount {
    checkArgument(value >= 0, "a number of tokens must not be negative: %s", value);
    checkArgument(MAX == null || value <= MAX.value, "use TokenCount.of for %s", value);
  }

  /**
   * Returns a count.
   *
   * @throws IllegalArgumentException if it is negative
   */
  public static TokenCount of(long value) {
    return MAX.value <= value ? MAX : new TokenCount(value);
  }

  /** Returns a number that a peer or an earlier build has stated, as a count; 0 if negative. */
  public static long clamp(long value) {
    return Math.max(0, Math.min(value, MAX.value));
  }

  /** Returns a number of tokens of a budget; 0 if it is negative. */
  public static long clampBalance(long value) {
    return Math.max(0, Math.min(value, MAX_BALANCE));
  }

  /** Parses decimal digits, of which there may be any number; empty for any other text. */
  public static Optional<TokenCount> parse(String text) {
    if (text.isEmpty() || !DIGITS.matchesAllOf(text)) {
      return Optional.empty();
    }
    Long value = Longs.tryParse(text);
    return Optional.of(value == null ? MAX : of(value));
  }

  /** Returns the sum of this count and another one. */
  public TokenCount plus(TokenCount other) {
    return of(value + other.value);
  }

  @Override
  public int compareTo(TokenCount other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return equals(MAX) ? value + " or more" : String.valueOf(value);
  }
}
