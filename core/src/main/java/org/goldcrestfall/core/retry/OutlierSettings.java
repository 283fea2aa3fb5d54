package org.goldcrestfall.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Parameters of {@link OutlierDetector}.
 *
 * @param consecutiveFailures number of consecutive failures that ejects an upstream
 * @param failureShare share of failed requests in the window, above 0 and up to 1, that ejects an
 *     upstream
 * @param minRequests minimum number of requests in the window for {@code failureShare} to apply
 * @param windowMillis length of the sliding window
 * @param baseEjectionMillis duration of the first ejection; each further one lasts twice as long
 * @param maxEjectionMillis maximum duration of an ejection
 */
public record OutlierSettings(
    int consecutiveFailures,
    double failureShare,
    int minRequests,
    long windowMillis,
    long baseEjectionMillis,
    long maxEjectionMillis) {

  /**
   * Default parameters: 5 consecutive failures, or failure of half of at least 10 requests in 10 s;
   * ejections of 2 s to 60 s.
   */
  public static final OutlierSettings DEFAULTS =
      new OutlierSettings(5, 0.5, 10, 10_000, 2_000, 60_000);

  /** Checks the arguments. */
  public OutlierSettings {
    checkArgument(consecutiveFailures > 0, "consecutiveFailures must be positive");
    checkArgument(failureShare > 0 && failureShare <= 1, "failureShare must be in (0, 1]");
    checkArgument(baseEjectionMillis > 0, "baseEjectionMillis must be positive");
    checkArgument(
        maxEjectionMillis >= baseEjectionMillis,
        "maxEjectionMillis must be at least baseEjectionMillis");
  }
}
