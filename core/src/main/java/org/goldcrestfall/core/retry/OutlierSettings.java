package org.goldcrestfall.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Constants of outlier ejection.
 *
 * @param consecutiveFailures failures in a row that eject
 * @param failureShare share of failures in the window that ejects
 * @param minRequests requests in the window below which the share is not judged
 * @param windowMillis length of the window
 * @param baseEjectionMillis first ejection time; each further one is twice as long
 * @param maxEjectionMillis bound of the ejection time
 */
public record OutlierSettings(
    int consecutiveFailures,
    double failureShare,
    int minRequests,
    long windowMillis,
    long baseEjectionMillis,
    long maxEjectionMillis) {

  /** 5 failures in a row, or half of at least 10 requests in 10 s; ejection for 2 s to 60 s. */
  public static final OutlierSettings DEFAULTS =
      new OutlierSettings(5, 0.5, 10, 10_000, 2_000, 60_000);

  /** Checks the arguments. */
  public OutlierSettings {
    checkArgument(consecutiveFailures > 0, "consecutiveFailures must be positive");
    checkArgument(failureShare > 0 && failureShare <= 1, "failureShare must be in (0, 1]");
    checkArgument(baseEjectionMillis > 0, "baseEjectionMillis must be positive");
    checkArgument(maxEjectionMillis >= baseEjectionMillis, "maxEjectionMillis is too small");
  }
}
