package org.goldcrestfall.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Constants of the retry decision.
 *
 * @param maxAttempts attempts of one request, the first included
 * @param budgetShare retries as a share of the requests of the last window
 * @param unsentShare retries of requests that were not sent, as a share of those requests
 * @param budgetFloor retries a window that are allowed even without traffic
 * @param windowMillis length of the window
 * @param baseDelayMillis upper bound of the first random delay
 * @param maxDelayMillis upper bound of every delay
 */
public record RetrySettings(
    int maxAttempts,
    double budgetShare,
    double unsentShare,
    int budgetFloor,
    long windowMillis,
    long baseDelayMillis,
    long maxDelayMillis) {

  /** 10% (not sent: 100%) of the traffic of the last 10 s, 4 attempts, delays of 20 ms to 1 s. */
  public static final RetrySettings DEFAULTS = new RetrySettings(4, 0.1, 1, 3, 10_000, 20, 1_000);

  /** Checks the arguments. */
  public RetrySettings {
    checkArgument(maxAttempts > 0, "maxAttempts must be positive: %s", maxAttempts);
    checkArgument(unsentShare >= 0, "unsentShare must not be negative: %s", unsentShare);
    checkArgument(budgetShare >= 0, "budgetShare must not be negative: %s", budgetShare);
    checkArgument(windowMillis >= 10, "windowMillis must be at least 10: %s", windowMillis);
    checkArgument(baseDelayMillis > 0, "baseDelayMillis must be positive: %s", baseDelayMillis);
  }
}
