package org.goldcrestfall.core.prepaid;

/**
 * A reading of the clocks of a leader of the control group. Readings of the same process measure
 * the time between two events on other hosts, whatever happens to the clocks of these.
 *
 * @param process a random number that identifies the process that leads; 0 if there is no reading
 * @param millis the monotonic clock, in milliseconds since an arbitrary origin
 * @param clockOffsetMillis wall clock minus monotonic clock
 */
public record LeaderTime(long process, long millis, long clockOffsetMillis) {

  /** No reading. */
  public static final LeaderTime NONE = new LeaderTime(0, 0, 0);

  /** Result of {@link #millisUntil} if the readings cannot be compared. */
  static final long UNKNOWN = Long.MAX_VALUE;

  /**
   * Largest difference between the clock offsets of two readings that measure the time between
   * them. The monotonic clock stands still while a host is suspended, and the wall clock does not.
   */
  private static final long MAX_OFFSET_CHANGE_MILLIS = 250;

  /** Time by which a measured time may be too short because the rates of two clocks differ. */
  private static final long RATE_MARGIN_MILLIS = 100;

  /** Returns the reading that the same clocks have {@code elapsedMillis} later. */
  public LeaderTime plus(long elapsedMillis) {
    return new LeaderTime(process, millis + elapsedMillis, clockOffsetMillis);
  }

  /** Returns an upper bound of the time from this reading to a later one, or {@link #UNKNOWN}. */
  long millisUntil(LeaderTime later) {
    boolean comparable =
        process != 0
            && process == later.process
            && later.millis >= millis
            && Math.abs(later.clockOffsetMillis - clockOffsetMillis) <= MAX_OFFSET_CHANGE_MILLIS;
    return comparable ? later.millis - millis + RATE_MARGIN_MILLIS : UNKNOWN;
  }
}
