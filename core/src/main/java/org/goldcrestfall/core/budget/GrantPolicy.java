package org.goldcrestfall.core.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.goldcrestfall.core.control.Tradeoff;

/**
 * Decides from the recent demand and the trade-off of a workspace when a router requests tokens,
 * how many, and when it returns them. The control group limits a grant to the router's share of the
 * unallotted tokens, so grants become smaller as a budget runs out. Not thread-safe.
 */
public final class GrantPolicy {

  /**
   * Period whose expected use a router covers with its tokens, in a {@link Tradeoff#STRICT}
   * workspace.
   */
  public static final long STRICT_HORIZON_MILLIS = 10_000;

  /**
   * Period whose expected use the routers cover in an {@link Tradeoff#AVAILABLE} workspace, so that
   * requests are served through a partition of this length. The tokens for this period are the
   * reserve for partitions.
   */
  public static final long AVAILABLE_HORIZON_MILLIS = 900_000;

  /**
   * Period whose expected use a router without a disk covers in an {@link Tradeoff#AVAILABLE}
   * workspace while other routers hold the reserve for partitions. It limits the tokens that are
   * stranded when the router crashes.
   */
  public static final long DISKLESS_HORIZON_MILLIS = 30_000;

  /**
   * Period whose expected reservations a router covers in addition to the expected use. The worst
   * case that a request reserves is several times its actual use and stays reserved for the seconds
   * that the request takes.
   */
  public static final long RESERVATION_HORIZON_MILLIS = 10_000;

  /**
   * Period whose expected reservations a router still covers while the control group recalls tokens
   * or a peer asks for some.
   */
  public static final long RECALLED_HORIZON_MILLIS = 1_000;

  private final Map<String, DemandEstimator> estimators = new HashMap<>();
  private double reserveShare = 1;

  /** The number of tokens to request, of which a waiting request needs {@code needed}. */
  public record GrantRequest(long tokens, long needed) {}

  /**
   * Sets for how many routers this one holds the reserve for partitions. The routers of a zone that
   * have a disk hold the reserve of the whole zone in equal shares. The routers of this zone
   * without a disk hold it for 0 routers, because their crash would strand it. If no router of the
   * zone has a disk, each router holds its own reserve, which corresponds to the initial value of
   * 1.
   */
  public void setReserveShare(double routers) {
    checkArgument(routers >= 0, "routers must not be negative: %s", routers);
    reserveShare = routers;
  }

  /** Records that a request tries to reserve tokens, whether it succeeds or not. */
  public void recordDemand(String workspace, long tokens, long nowMillis) {
    estimator(workspace, nowMillis).recordReservation(tokens, nowMillis);
  }

  /** Records the actual use of a finished request. */
  public void recordUse(String workspace, long tokens, long nowMillis) {
    estimator(workspace, nowMillis).recordUse(tokens, nowMillis);
  }

  private DemandEstimator estimator(String workspace, long nowMillis) {
    return estimators.computeIfAbsent(workspace, w -> new DemandEstimator(nowMillis));
  }

  /** Returns the number of tokens that the router should hold. */
  public long target(String workspace, Tradeoff tradeoff, long nowMillis) {
    double horizonMillis = STRICT_HORIZON_MILLIS;
    if (tradeoff == Tradeoff.AVAILABLE) {
      horizonMillis = Math.max(DISKLESS_HORIZON_MILLIS, reserveShare * AVAILABLE_HORIZON_MILLIS);
    }
    return (long) Math.ceil(estimator(workspace, nowMillis).useRate(nowMillis) * horizonMillis)
        + reservationTokens(workspace, RESERVATION_HORIZON_MILLIS, nowMillis);
  }

  private long reservationTokens(String workspace, long horizonMillis, long nowMillis) {
    DemandEstimator recentDemand = estimator(workspace, nowMillis);
    double tokens = recentDemand.reservationRate(nowMillis) * horizonMillis;
    return Math.max(recentDemand.largestReservation(nowMillis), (long) Math.ceil(tokens));
  }

  /**
   * Returns what to request from the control group. The result is empty while at least nine tenths
   * of the target are available and no request waits.
   *
   * @param needed the tokens that waiting requests need in addition to the available ones
   */
  public Optional<GrantRequest> grantRequest(
      String workspace, Tradeoff tradeoff, long available, long needed, long nowMillis) {
    long target = target(workspace, tradeoff, nowMillis);
    if (needed <= 0 && available >= target / 10 * 9) {
      return Optional.empty();
    }
    long tokens = Math.max(target - available, Math.max(0, needed));
    return tokens <= 0
        ? Optional.empty()
        : Optional.of(new GrantRequest(tokens, Math.max(0, needed)));
  }

  /**
   * Returns the number of tokens to return to the control group: those beyond twice the target, or,
   * while the group recalls the tokens of the workspace, those beyond {@link
   * #RECALLED_HORIZON_MILLIS} of expected reservations.
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
   * Returns the number of tokens to ask a peer for when a request waits for {@code needed} tokens.
   * It also covers the expected use of the next {@link #DISKLESS_HORIZON_MILLIS}, so that not every
   * request has to wait for a transfer.
   */
  public long peerRequestTokens(String workspace, long needed, long nowMillis) {
    double use = estimator(workspace, nowMillis).useRate(nowMillis) * DISKLESS_HORIZON_MILLIS;
    return needed
        + (long) use
        + reservationTokens(workspace, RESERVATION_HORIZON_MILLIS, nowMillis);
  }

  /** Returns the block size, in tokens, by which a router with a disk raises its watermark. */
  public long watermarkBlockTokens(String workspace, long nowMillis) {
    return reservationTokens(workspace, RECALLED_HORIZON_MILLIS, nowMillis);
  }

  /** Returns the number of tokens to transfer to a peer that asks for {@code asked}. */
  public long transferableTokens(String workspace, long available, long asked, long nowMillis) {
    long spare = available - reservationTokens(workspace, RECALLED_HORIZON_MILLIS, nowMillis);
    return Math.max(0, Math.min(asked, spare));
  }
}
