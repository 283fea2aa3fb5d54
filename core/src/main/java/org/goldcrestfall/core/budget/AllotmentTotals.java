package org.goldcrestfall.core.budget;

/**
 * The totals of one workspace in one router incarnation, in tokens. {@code reserved} and {@code
 * used} (use that is not yet settled) are current values, the others are cumulative; {@code
 * settled} includes bookings.
 */
public record AllotmentTotals(
    long granted,
    long reserved,
    long used,
    long settled,
    long returned,
    long transferredIn,
    long transferredOut) {

  /** Returns the number of tokens that can be reserved. */
  public long available() {
    return granted + transferredIn - transferredOut - returned - settled - used - reserved;
  }

  /**
   * Returns the upper bound of the tokens that this incarnation has used or transferred to other
   * routers.
   */
  public long highestUse() {
    return settled + used + reserved + transferredOut;
  }
}
