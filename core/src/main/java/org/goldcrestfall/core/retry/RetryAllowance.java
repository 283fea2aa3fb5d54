package org.goldcrestfall.core.retry;

/**
 * One router's part of a budget of repeated sends that all routers share without coordination: a
 * share of its own first sends, and an equal part of a fixed allowance. Not thread-safe.
 */
public final class RetryAllowance {

  /**
   * Share of the budget that is used. The rest is a reserve, because each router divides the fixed
   * allowance by its own estimate of the router count.
   */
  private static final double USED_SHARE = 0.75;

  private final double ratio;
  private final double slack;
  private final SlidingWindowCounter firstSends;
  private final SlidingWindowCounter repeatedSends;

  /**
   * Creates an allowance.
   *
   * @param ratio allowed repeated sends per first send
   * @param slack fixed allowance of repeated sends per window, for all routers together
   * @param windowMillis length of the sliding window
   */
  public RetryAllowance(double ratio, double slack, long windowMillis) {
    this.ratio = ratio;
    this.slack = slack;
    firstSends = new SlidingWindowCounter(windowMillis);
    // Repeated sends are counted for longer than the window, because a counter drops up to a tenth
    // of its window early.
    repeatedSends = new SlidingWindowCounter(windowMillis + windowMillis / 5);
  }

  /** Records the first send of a request. */
  public void onFirstSend(long nowMillis) {
    firstSends.add(nowMillis);
  }

  /**
   * Returns whether a request may be sent again now, and if so charges it to the budget.
   *
   * @param routers estimated number of routers that share the budget
   */
  public boolean tryAcquireRepeat(int routers, long nowMillis) {
    double allowed =
        USED_SHARE * (ratio * firstSends.sum(nowMillis) + slack / Math.max(1, routers));
    if (repeatedSends.sum(nowMillis) + 1 > allowed) {
      return false;
    }
    repeatedSends.add(nowMillis);
    return true;
  }
}
