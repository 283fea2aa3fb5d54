package org.goldcrestfall.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Parameters of {@link FleetLimiter}.
 *
 * @param floorShare share of a limit, from 0 to 1, that is divided equally among the routers
 *     regardless of demand, so that a router with new demand can admit requests before the other
 *     routers have received its report
 * @param burstMillis capacity of a token bucket, as the time in which it fills at its rate
 * @param demandTimeConstantMillis time constant of the exponential average of demand
 * @param maxReportAgeMillis age above which the report of a router is stale
 * @param staleBorrowFactor maximum share of a router, as a multiple of an equal share, while the
 *     report of a live router is stale or missing
 */
public record LimitSettings(
    double floorShare,
    long burstMillis,
    long demandTimeConstantMillis,
    long maxReportAgeMillis,
    double staleBorrowFactor) {

  /**
   * Default parameters: a floor of 20%, bursts of 1 s, demand averaged over 1 s, reports stale
   * after 5 s, and at most twice the equal share while a report is stale.
   */
  public static final LimitSettings DEFAULTS = new LimitSettings(0.2, 1_000, 1_000, 5_000, 2);

  /** Checks the arguments. */
  public LimitSettings {
    checkArgument(floorShare >= 0 && floorShare <= 1, "floorShare must be in [0, 1]");
    checkArgument(burstMillis > 0, "burstMillis must be positive: %s", burstMillis);
    checkArgument(
        demandTimeConstantMillis > 0,
        "demandTimeConstantMillis must be positive: %s",
        demandTimeConstantMillis);
    checkArgument(staleBorrowFactor >= 1, "staleBorrowFactor must be at least 1");
  }
}
