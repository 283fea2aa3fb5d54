package org.goldcrestfall.core.retry;

/**
 * One router's part of a budget of repeated sends that all routers share without asking each other:
 * a share of its own first sends, and an equal part of the fixed allowance. Not thread-safe.
 */
public final class RetryAllowance {

  /** The budget is shared by estimates of the router count, so a part of it stays unused. */
  private static final double USED_SHARE = 0.75;

  private final double ratio;
  private final double slack;
  private final WindowCounter first;
  private final WindowCounter repeated;

  /**
   * Creates an allowance.
   *
   * @param ratio repeated sends for each first one
   * @param slack the repeated sends in a window that all routers have on top
   * @param windowMillis the length of the sliding window
   */
  public RetryAllowance(double ratio, double slack, long windowMillis) {
    this.ratio = ratio;
    this.slack = slack;
    first = new WindowCounter(windowMillis);
    // A repeat counts a bucket longer than the window, because buckets end at full tenths.
    repeated = new WindowCounter(windowMillis + windowMillis / 5);
  }

  /** Counts the first send of a request. */
  public void onFirst(long nowMillis) {
    first.add(nowMillis);
  }

  /** Takes a repeated send if one is left; {@code routers} share the budget. */
  public boolean tryRepeat(int routers, long nowMillis) {
    double allowed = USED_SHARE * (ratio * first.sum(nowMillis) + slack / Math.max(1, routers));
    if (repeated.sum(nowMillis) + 1 > allowed) {
      return false;
    }
    repeated.add(nowMillis);
    return true;
  }
}
