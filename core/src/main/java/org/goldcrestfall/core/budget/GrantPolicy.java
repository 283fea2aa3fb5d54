package org.goldcrestfall.core.budget;

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

  /** Use that a router holds for an {@link Tradeoff#AVAILABLE} workspace. */
  public static final long AVAILABLE_HORIZON_MILLIS = 600_000;

  /**
   * Reservations that a router holds beyond its use: a worst case is several times the actual use
   * and is held for the seconds that a request takes.
   */
  public static final long RESERVATION_HORIZON_MILLIS = 10_000;

  /** Reservations that a router keeps while the group recalls tokens or a peer asks for some. */
  public static final long RECALLED_HORIZON_MILLIS = 1_000;

  private final Map<String, DemandMeter> meters = new HashMap<>();

  /** Tokens to ask for, of which a waiting request needs {@code needed}. */
  public record Ask(long tokens, long needed) {}

  /** Takes note of a request that wants to reserve tokens. */
  public void demand(String workspace, long tokens, long nowMillis) {
    meter(workspace, nowMillis).reserve(tokens, nowMillis);
  }

  /** Takes note of the actual use of a request that has ended. */
  public void used(String workspace, long tokens, long nowMillis) {
    meter(workspace, nowMillis).use(tokens, nowMillis);
  }

  private DemandMeter meter(String workspace, long nowMillis) {
    return meters.computeIfAbsent(workspace, w -> new DemandMeter(nowMillis));
  }

  /** Returns the tokens that the router should hold. */
  public long target(String workspace, Tradeoff tradeoff, long nowMillis) {
    long horizon = tradeoff == Tradeoff.STRICT ? STRICT_HORIZON_MILLIS : AVAILABLE_HORIZON_MILLIS;
    DemandMeter m = meter(workspace, nowMillis);
    return (long) Math.ceil(m.useRate(nowMillis) * horizon)
        + reserve(workspace, RESERVATION_HORIZON_MILLIS, nowMillis);
  }

  private long reserve(String workspace, long horizonMillis, long nowMillis) {
    DemandMeter m = meter(workspace, nowMillis);
    double tokens = m.reservationRate(nowMillis) * horizonMillis;
    return Math.max(m.largest(nowMillis), (long) Math.ceil(tokens));
  }

  /**
   * Returns what to ask the control group for, if anything: when less than half of the target is
   * available, or when a request waits for {@code needed} tokens more than available.
   */
  public Optional<Ask> ask(
      String workspace, Tradeoff tradeoff, long available, long needed, long nowMillis) {
    long target = target(workspace, tradeoff, nowMillis);
    if (needed <= 0 && available >= target / 2) {
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
            ? reserve(workspace, RECALLED_HORIZON_MILLIS, nowMillis)
            : 2 * target(workspace, tradeoff, nowMillis);
    return Math.max(0, available - keep);
  }

  /** Returns the tokens to transfer to a peer that asks for {@code asked}. */
  public long gift(String workspace, long available, long asked, long nowMillis) {
    long spare = available - reserve(workspace, RECALLED_HORIZON_MILLIS, nowMillis);
    return Math.max(0, Math.min(asked, spare));
  }
}
