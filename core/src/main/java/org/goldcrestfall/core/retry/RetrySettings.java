package org.goldcrestfall.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Parameters of {@link RetryPolicy}.
 *
 * @param maxAttempts maximum number of attempts per request, including the first
 * @param budgetShare allowed retries of sent requests, as a share of the requests in the window
 * @param unsentShare allowed retries of requests that were not sent, as a share of the requests in
 *     the window
 * @param minRetriesPerWindow number of retries allowed per window even without requests
 * @param windowMillis length of the sliding window
 * @param baseDelayMillis upper bound of the random delay before the first retry; doubles with each
 *     retry
 * @param maxDelayMillis upper bound of every random delay
 */
public record RetrySettings(
    int maxAttempts,
    double budgetShare,
    double unsentShare,
    int minRetriesPerWindow,
    long windowMillis,
    long baseDelayMillis,
    long maxDelayMillis) {

  /**
   * Default parameters: 4 attempts, retries of up to 10% of the requests of the last 10 s (100% for
   * requests that were not sent), and delays with an upper bound of 20 ms to 1 s.
   */
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
