package org.goldcrestfall.core.limit;

/**
 * The rate that an upstream has stated in an answer.
 *
 * @param requestsPerSecond the requests a second that it takes from all routers together, or {@link
 *     #UNLIMITED}
 * @param statedAtMillis the time of the answer, on the clock of the daemon that has this record
 */
public record StatedLimit(double requestsPerSecond, long statedAtMillis) {

  /** The rate of an upstream that states no limit. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /** The limit before the first answer. */
  public static final StatedLimit NONE = new StatedLimit(UNLIMITED, Long.MIN_VALUE / 2);

  /** Returns whether the upstream limits its rate. */
  public boolean isLimited() {
    return requestsPerSecond < UNLIMITED;
  }

  /** Returns the limit that was stated later. */
  public StatedLimit newer(StatedLimit other) {
    return other.statedAtMillis > statedAtMillis ? other : this;
  }
}
