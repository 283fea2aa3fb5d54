package org.goldcrestfall.core.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.goldcrestfall.core.control.Tradeoff;

/**
 * Decides when a router asks for tokens, how many, and when it hands them back, from the recent
 * demand and the trade-off of the workspace. The control group limits a grant to the router's share
 * of the unallotted rest, so grants become smaller as a budget runs out. Not thread-safe.
 */
public final class GrantPolicy {

  /** Use that a router holds for a {@link Tradeoff#STRICT} workspace. */
  public static final long STRICT_HORIZON_MILLIS = 10_000;

  /** Use that is held for an {@link Tradeoff#AVAILABLE} workspace, to outlast a partition. */
  public static final long AVAILABLE_HORIZON_MILLIS = 900_000;

  /**
   * Use that a router without a disk holds for an {@link Tradeoff#AVAILABLE} workspace while other
   * routers hold the reserve. When it dies, no more than this is stranded.
   */
  public static final long DISKLESS_HORIZON_MILLIS = 30_000;

  /**
   * Reservations that a router holds beyond its use: a worst case is several times the actual use
   * and is held for the seconds that a request takes.
   */
  public static final long RESERVATION_HORIZON_MILLIS = 10_000;

  /** Reservations that a router keeps while the group recalls tokens or a peer asks for some. */
  public static final long RECALLED_HORIZON_MILLIS = 1_000;

  private final Map<String, DemandEstimator> estimators = new HashMap<>();
  private double reserveShare = 1;

  /** Tokens to ask for, of which a waiting request needs {@code needed}. */
  public record Ask(long tokens, long needed) {}

  /**
   * Sets for how many routers this one holds the reserve that outlasts a partition. A router with a
   * disk holds it for the routers of its zone, divided by those with a disk; a router without a
   * disk then holds it for 0, because its death would strand it. Where no router of the zone has a
   * disk, each holds its own, which is the initial 1.
   */
  public void setReserveShare(double routers) {
    checkArgument(routers >= 0, "routers must not be negative: %s", routers);
    reserveShare = routers;
  }

  /** Takes note of a request that wants to reserve tokens. */
  public void demand(String workspace, long tokens, long nowMillis) {
    estimator(workspace, nowMillis).recordReservation(tokens, nowMillis);
  }

  /** Takes note of the actual use of a request that has ended. */
  public void used(String workspace, long tokens, long nowMillis) {
    estimator(workspace, nowMillis).recordUse(tokens, nowMillis);
  }

  private DemandEstimator estimator(String workspace, long nowMillis) {
    return estimators.computeIfAbsent(workspace, w -> new DemandEstimator(nowMillis));
  }

  /** Returns the tokens that the router should hold. */
  public long target(String workspace, Tradeoff tradeoff, long nowMillis) {
    double horizon = STRICT_HORIZON_MILLIS;
    if (tradeoff == Tradeoff.AVAILABLE) {
      horizon = Math.max(DISKLESS_HORIZON_MILLIS, reserveShare * AVAILABLE_HORIZON_MILLIS);
    }
    return (long) Math.ceil(estimator(workspace, nowMillis).useRate(nowMillis) * horizon)
        + reservationTokens(workspace, RESERVATION_HORIZON_MILLIS, nowMillis);
  }

  private long reservationTokens(String workspace, long horizonMillis, long nowMillis) {
    DemandEstimator m = estimator(workspace, nowMillis);
    double tokens = m.reservationRate(nowMillis) * horizonMillis;
    return Math.max(m.largestReservation(nowMillis), (long) Math.ceil(tokens));
  }

  /**
   * Returns what to ask the control group for, if anything: when less than nine tenths of the
   * target are available, or when a request waits for {@code needed} tokens more than available.
   */
  public Optional<Ask> ask(
      String workspace, Tradeoff tradeoff, long available, long needed, long nowMillis) {
    long target = target(workspace, tradeoff, nowMillis);
    if (needed <= 0 && available >= target / 10 * 9) {
      return Optional.empty();
    }
    long tokens = Math.max(target - available, Math.max(0, needed));
    return tokens <= 0 ? Optional.empty() : Optional.of(new Ask(tokens, Math.max(0, needed)));
  }

  /**
   * Returns the tokens to hand back: what exceeds twice the target, or, while the group recalls the
   * workspace, what exceeds the demand of the next moment.
   */
  public long surplus(
      String workspace, Tradeoff tradeoff, long available, boolean recalled, long nowMillis) {
    long keep =
        recalled
            ? reservationTokens(workspace, RECALLED_HORIZON_MILLIS, nowMillis)
            : 2 * target(workspace, tradeoff, nowMillis);
    return Math.max(0, available - keep);
  }

  /**
   * Returns the tokens to ask a peer for when a request waits for {@code needed} tokens: enough for
   * the next half minute too, so that not every request has to wait for a transfer.
   */
  public long askPeer(String workspace, long needed, long nowMillis) {
    double use = estimator(workspace, nowMillis).useRate(nowMillis) * DISKLESS_HORIZON_MILLIS;
    return needed + (long) use + reservationTokens(workspace, RESERVATION_HORIZON_MILLIS, nowMillis);
  }

  /** Returns the block by which a router with a disk raises its watermark. */
  public long block(String workspace, long nowMillis) {
    return reservationTokens(workspace, RECALLED_HORIZON_MILLIS, nowMillis);
  }

  /** Returns the tokens to transfer to a peer that asks for {@code asked}. */
  public long gift(String workspace, long available, long asked, long nowMillis) {
    long spare = available - reservationTokens(workspace, RECALLED_HORIZON_MILLIS, nowMillis);
    return Math.max(0, Math.min(asked, spare));
  }
}
