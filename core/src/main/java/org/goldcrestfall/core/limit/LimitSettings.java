package org.goldcrestfall.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Constants of the approximation.
 *
 * @param floorShare part of a limit that is divided equally over the routers whatever their demand,
 *     so that a router with new demand can serve before gossip has spread
 * @param burstMillis depth of a token bucket as time at its rate
 * @param demandMillis time constant of the average of demand
 * @param staleMillis age of a peer's report from which on it is not trusted
 * @param staleBorrowFactor bound on a router's share, as a multiple of an equal share, while the
 *     report of a live router is stale or missing
 */
public record LimitSettings(
    double floorShare,
    long burstMillis,
    long demandMillis,
    long staleMillis,
    double staleBorrowFactor) {

  /** A fifth as floor, 1 s of burst, 1 s of demand, reports of 5 s, twice the equal share. */
  public static final LimitSettings DEFAULTS = new LimitSettings(0.2, 1_000, 1_000, 5_000, 2);

  /** Checks the arguments. */
  public LimitSettings {
    checkArgument(floorShare >= 0 && floorShare <= 1, "floorShare must be in [0, 1]");
    checkArgument(burstMillis > 0, "burstMillis must be positive: %s", burstMillis);
    checkArgument(demandMillis > 0, "demandMillis must be positive: %s", demandMillis);
    checkArgument(staleBorrowFactor >= 1, "staleBorrowFactor must be at least 1");
  }
}
