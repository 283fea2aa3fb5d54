package org.goldcrestfall.core.prepaid;

import java.util.Optional;

/**
 * Decides how many tokens of a workspace a router incarnation holds and opens. It holds enough for
 * the use expected while it cannot reach the ledger, and returns what it does not need.
 */
public final class HoldingPolicy {

  /**
   * Tokens are held for the use expected in this time, which is about as long as the ledger may
   * stay unreachable. A longer time would lose more tokens when a router is lost.
   */
  private static final long HOLD_HORIZON_MILLIS = 10_000;

  /**
   * Tokens are open for the use expected in this time. More are opened through the ledger when a
   * request needs them. Open tokens are lost when the router is killed.
   */
  private static final long OPEN_HORIZON_MILLIS = 3_000;

  /** The fraction of a workspace's total that all routers together hold if none has demand. */
  private static final double IDLE_FRACTION = 0.01;

  /** A router that holds more than this multiple of its target returns the excess. */
  private static final double RETURN_ABOVE = 1.3;

  /** A router that holds less than this fraction of its target requests more tokens. */
  private static final double RENEW_BELOW = 0.75;

  private HoldingPolicy() {}

  /** Returns the unused tokens that the router should hold, open or not. */
  private static long target(PrepaidAccount account, long total, int routers, long nowMillis) {
    long idleTarget = (long) (total * IDLE_FRACTION / routers);
    long expectedDemand = account.expectedDemand(HOLD_HORIZON_MILLIS, nowMillis);
    long expectedUse = (long) (expectedDemand * account.usedFraction());
    // Requests reserve more than they use, so at least one must fit.
    long oneRequest = Math.min(account.averageRequestTokens(), expectedDemand);
    long wanted = Math.max(idleTarget, Math.max(expectedUse, oneRequest));
    return Math.min(wanted, account.maxHeld(nowMillis));
  }

  private static long openTarget(long target) {
    return Math.max(1, (long) ((double) target * OPEN_HORIZON_MILLIS / HOLD_HORIZON_MILLIS));
  }

  /** Returns whether so few tokens are open that more should be opened before they are needed. */
  public static boolean isShortOfOpenTokens(
      PrepaidAccount account, long total, int routers, long nowMillis) {
    return account.free() < openTarget(target(account, total, routers, nowMillis)) / 2;
  }

  /** Returns whether more tokens are open than needed, which would be lost with this router. */
  public static boolean hasTooManyOpenTokens(
      PrepaidAccount account, long total, int routers, long nowMillis) {
    return hasTooManyOpenTokens(account, openTarget(target(account, total, routers, nowMillis)));
  }

  private static boolean hasTooManyOpenTokens(PrepaidAccount account, long openTarget) {
    return account.waiting() == 0 && account.free() > RETURN_ABOVE * openTarget;
  }

  /** Returns whether the router should return tokens at once, as the ledger last stated. */
  public static boolean holdsTooMany(PrepaidAccount account, long nowMillis) {
    return account.free() + account.unopened() > RETURN_ABOVE * account.maxHeld(nowMillis);
  }

  /**
   * Takes the tokens that the router does not need out of the account and returns the demand to
   * send to the ledger, or empty if there is nothing to tell.
   *
   * @param total the prepaid tokens of the workspace
   * @param routers the number of routers of the site, at least 1
   * @param ledgerTimedOut whether the reserve is being opened because the ledger does not answer
   */
  public static Optional<Demand> nextDemand(
      String workspace,
      PrepaidAccount account,
      long total,
      int routers,
      boolean ledgerTimedOut,
      long nowMillis) {
    long target = target(account, total, routers, nowMillis);
    long openTarget = openTarget(target);
    boolean returnsOpenTokens = !ledgerTimedOut && hasTooManyOpenTokens(account, openTarget);
    if (returnsOpenTokens) {
      // After the ledger was unreachable, many tokens are open. The excess is returned to the
      // ledger, which grants it again as reserve where it is needed.
      account.returnOpenTokens(account.free() - openTarget);
    }
    long held = account.free() + account.unopened();
    if (account.waiting() > account.free()) {
      return Optional.of(
          account.demandWithWaiting(workspace, target - held, openTarget - account.free()));
    }
    if (held > RETURN_ABOVE * target && account.waiting() == 0) {
      account.returnTokens(held - target);
      return Optional.of(account.demandFor(workspace, 0, 0, 0));
    }
    long wanted = held < RENEW_BELOW * target ? target - held : 0;
    long toOpen = account.free() < RENEW_BELOW * openTarget ? openTarget - account.free() : 0;
    boolean opens = toOpen > 0 && account.unopened() > 0;
    if (wanted > 0 || opens || returnsOpenTokens || account.hasUnreportedOpenings()) {
      return Optional.of(account.demandFor(workspace, wanted, 0, toOpen));
    }
    return Optional.empty();
  }
}
