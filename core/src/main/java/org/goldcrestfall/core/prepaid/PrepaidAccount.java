package org.goldcrestfall.core.prepaid;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.goldcrestfall.core.common.TokenCount;

/**
 * The prepaid tokens of one workspace at one router incarnation. A request reserves its worst-case
 * token count before it is sent and settles its actual use, after which the rest is free again.
 * Tokens that are granted but not opened form the reserve, which requests cannot use. Not
 * thread-safe.
 */
public final class PrepaidAccount {

  /** Time constant of the exponentially decaying average of the demand. */
  private static final double DEMAND_TIME_CONSTANT_MILLIS = 8_000;

  /** A measured time below this bound is raised to it; it is too short to extrapolate from. */
  private static final long MIN_MEASURED_MILLIS = 4_000;

  /** Time for which a failed search for tokens is not repeated. */
  private static final long FAILED_SEARCH_TTL_MILLIS = 500;

  /** Age up to which the limit of held tokens in an answer of the ledger is used. */
  private static final long MAX_HELD_TTL_MILLIS = 2_000;

  /**
   * Time in which running routers return scarce tokens; what is still held after it belongs to
   * routers that no longer run.
   */
  private static final long RETURN_LIMIT_MILLIS = 2_000;

  /** Number of waiting requests that a demand names; later ones wait for the next demand. */
  private static final int MAX_STATED_REQUESTS = 100;

  /** Number of requests over which the use of reserved tokens is averaged, exponentially. */
  private static final int AVERAGED_REQUESTS = 20;

  private long grantedTotal;
  private long returnedTotal;
  private long openedTotal;
  private long ledgerOpenedTotal;
  private long openReturnedTotal;
  private long free;
  private long reserved;
  private long spent;
  private long waiting;

  /** The sizes of the requests that wait, in the order of arrival. */
  private final List<TokenCount> waitingSizes = new ArrayList<>();

  private double averageSize;
  private double settledReserved;
  private double settledUsed;
  private double demandTokensPerMillis;
  private long demandUpdatedAtMillis;
  private long firstDemandAtMillis = -1;
  private long ledgerAvailable = -1;
  private long ledgerUnused = -1;
  private long ledgerAnsweredAtMillis;
  private long maxHeld = Long.MAX_VALUE;
  private long shortSinceMillis = -1;
  private long failedSearchTokens = Long.MAX_VALUE;
  private long failedSearchExpiresAtMillis = Long.MIN_VALUE;

  /**
   * Applies the ledger's answer. Its amounts are cumulative totals, so a duplicate changes nothing.
   */
  public void applyAllotment(PrepaidLedger.Allotment allotment, long nowMillis) {
    grantedTotal = Math.max(grantedTotal, allotment.grantedTotal());
    ledgerOpenedTotal = Math.max(ledgerOpenedTotal, allotment.openedTotal());
    // The ledger may have opened tokens that were returned before its answer arrived.
    long reserveReturned = returnedTotal - openReturnedTotal;
    long opened = Math.min(allotment.openedTotal(), grantedTotal - reserveReturned);
    if (opened > openedTotal) {
      free += opened - openedTotal;
      openedTotal = opened;
    }
    if (allotment.available() > ledgerAvailable) {
      shortSinceMillis = -1;
    }
    ledgerAvailable = allotment.available();
    ledgerUnused = allotment.unused();
    maxHeld = allotment.maxHeld();
    ledgerAnsweredAtMillis = nowMillis;
  }

  /** Returns the number of granted tokens that are not open, which is the reserve. */
  public long unopened() {
    return grantedTotal - returnedTotal - (openedTotal - openReturnedTotal);
  }

  /**
   * Opens a part of the reserve without asking the ledger.
   *
   * @param fraction the part of the tokens that are not open yet, from 0 to 1
   */
  public void openReserve(double fraction) {
    long tokens = (long) (Math.max(0, unopened()) * fraction);
    openedTotal += tokens;
    free += tokens;
  }

  /** Returns whether tokens were opened that the ledger has not confirmed as open. */
  public boolean hasUnreportedOpenings() {
    return openedTotal > ledgerOpenedTotal;
  }

  /**
   * Returns the demand to send to the ledger, with the current totals; see {@link Demand} for the
   * arguments.
   */
  public Demand demandFor(String workspace, long wanted, long needed, long toOpen) {
    return newDemand(workspace, wanted, needed, toOpen, Optional.empty());
  }

  /**
   * Returns the demand to send to the ledger for the requests that wait; {@code wanted} and {@code
   * toOpen} do not count them.
   */
  public Demand demandWithWaiting(String workspace, long wanted, long toOpen) {
    long missingOpen = Math.max(0, waiting - free);
    long missing = Math.max(0, missingOpen - unopened());
    ImmutableList<Long> sizes =
        waitingSizes.stream()
            .limit(MAX_STATED_REQUESTS)
            .map(TokenCount::value)
            .collect(ImmutableList.toImmutableList());
    return newDemand(
        workspace,
        Math.max(missing, wanted),
        missing,
        Math.max(missingOpen, toOpen),
        Optional.of(new Waiting(sizes, wanted, toOpen)));
  }

  private Demand newDemand(
      String workspace, long wanted, long needed, long toOpen, Optional<Waiting> waitingRequests) {
    return new Demand(
        workspace,
        returnedTotal,
        openReturnedTotal,
        openedTotal,
        wanted,
        needed,
        toOpen,
        free + unopened(),
        waitingRequests);
  }

  /** Reserves tokens if they are free, and returns whether it did. */
  public boolean reserve(TokenCount tokens) {
    if (tokens.value() > free) {
      return false;
    }
    free -= tokens.value();
    reserved += tokens.value();
    return true;
  }

  /**
   * Ends a reservation of which {@code used} tokens were consumed. Use beyond the reservation is
   * not counted. A request that used none has not run, and is no demand any more.
   */
  public void settle(TokenCount reservation, TokenCount used) {
    long reservedTokens = reservation.value();
    long taken = Math.min(used.value(), reservedTokens);
    reserved -= reservedTokens;
    spent += taken;
    free += reservedTokens - taken;
    if (taken > 0) {
      recordUse(reservedTokens, taken);
    } else {
      demandTokensPerMillis =
          Math.max(0, demandTokensPerMillis - reservedTokens / DEMAND_TIME_CONSTANT_MILLIS);
    }
  }

  private void recordUse(long reservedTokens, long used) {
    double kept = 1 - 1.0 / AVERAGED_REQUESTS;
    settledReserved = settledReserved * kept + reservedTokens;
    settledUsed = settledUsed * kept + used;
    averageSize +=
        averageSize == 0 ? reservedTokens : (reservedTokens - averageSize) / AVERAGED_REQUESTS;
  }

  /** Counts the tokens of a request that waits until they are free here. */
  public void addWaiting(TokenCount tokens) {
    waiting += tokens.value();
    waitingSizes.add(tokens);
  }

  /** Ends the wait of a request that was counted by {@link #addWaiting}. */
  public void removeWaiting(TokenCount tokens) {
    waiting -= tokens.value();
    waitingSizes.remove(tokens);
  }

  /** Returns the tokens of all requests that wait. */
  public long waiting() {
    return waiting;
  }

  /**
   * Counts the worst case of a request for which tokens were reserved as demand. A request that got
   * none is no demand, since tokens that are held for it would be missing elsewhere.
   */
  public void recordDemand(TokenCount size, long nowMillis) {
    long tokens = size.value();
    if (firstDemandAtMillis < 0) {
      firstDemandAtMillis = nowMillis;
      demandUpdatedAtMillis = nowMillis;
    }
    decay(nowMillis);
    demandTokensPerMillis += tokens / DEMAND_TIME_CONSTANT_MILLIS;
  }

  /** Returns the number of tokens that the recent demand would take in {@code millis}. */
  public long expectedDemand(long millis, long nowMillis) {
    if (firstDemandAtMillis < 0) {
      return 0;
    }
    decay(nowMillis);
    // The average starts at 0, and during the measured time it has reached only a fraction of a
    // constant demand, so it is divided by that fraction.
    long measuredMillis = Math.max(MIN_MEASURED_MILLIS, nowMillis - firstDemandAtMillis);
    double reachedFraction = 1 - Math.exp(-measuredMillis / DEMAND_TIME_CONSTANT_MILLIS);
    return (long) (demandTokensPerMillis / reachedFraction * millis);
  }

  /** Returns the fraction of their reservations that recent requests consumed; 1 before them. */
  public double usedFraction() {
    return settledReserved == 0 ? 1 : settledUsed / settledReserved;
  }

  /** Returns the average worst case of recent requests that ran, or 0 before the first one. */
  public long averageRequestTokens() {
    return (long) averageSize;
  }

  private void decay(long nowMillis) {
    demandTokensPerMillis *=
        Math.exp((demandUpdatedAtMillis - nowMillis) / DEMAND_TIME_CONSTANT_MILLIS);
    demandUpdatedAtMillis = nowMillis;
  }

  /**
   * Deducts up to {@code tokens} free tokens for another router and returns how many were deducted.
   */
  public long lend(long tokens) {
    long lent = Math.max(0, Math.min(tokens, free));
    free -= lent;
    return lent;
  }

  /** Adds tokens received from another router; a negative number adds none. */
  public void addBorrowed(long tokens) {
    free += Math.max(0, tokens);
  }

  /** Records that neither the ledger nor other routers had {@code tokens} to spare. */
  public void recordFailedSearch(TokenCount size, long nowMillis) {
    long tokens = size.value();
    failedSearchTokens =
        nowMillis < failedSearchExpiresAtMillis ? Math.min(failedSearchTokens, tokens) : tokens;
    failedSearchExpiresAtMillis = nowMillis + FAILED_SEARCH_TTL_MILLIS;
  }

  /** Returns whether a search for {@code tokens} or fewer failed a short time ago. */
  public boolean hasSearchFailedRecently(TokenCount tokens, long nowMillis) {
    return nowMillis < failedSearchExpiresAtMillis && tokens.value() >= failedSearchTokens;
  }

  /**
   * Returns up to {@code tokens} to the ledger by raising the cumulative totals of returns. The
   * tokens are taken from the reserve first, then from the free ones.
   */
  public void returnTokens(long tokens) {
    long fromReserve = Math.max(0, Math.min(tokens, unopened()));
    returnedTotal += fromReserve;
    returnOpenTokens(tokens - fromReserve);
  }

  /** Returns up to {@code tokens} free, open tokens to the ledger. */
  public void returnOpenTokens(long tokens) {
    long open = Math.max(0, Math.min(tokens, free));
    free -= open;
    returnedTotal += open;
    openReturnedTotal += open;
  }

  /** Returns the number of open tokens that are neither reserved nor spent. */
  public long free() {
    return free;
  }

  /** Returns the number of tokens reserved by running requests. */
  public long reserved() {
    return reserved;
  }

  /** Returns the number of tokens that requests have consumed at this router incarnation. */
  public long spent() {
    return spent;
  }

  /**
   * Returns the number of tokens that no router held as of the last answer of the ledger, or -1
   * before the first answer.
   */
  public long ledgerAvailable() {
    return ledgerAvailable;
  }

  /**
   * Returns whether {@code tokens} are not to be had, as the ledger last stated: neither are they
   * available, nor will other routers return them.
   */
  public boolean isExhausted(TokenCount size, long nowMillis) {
    long tokens = size.value();
    if (ledgerAvailable < 0 || ledgerAvailable >= tokens) {
      return false;
    }
    if (shortSinceMillis < 0) {
      shortSinceMillis = nowMillis;
    }
    return ledgerUnused < tokens || nowMillis - shortSinceMillis > RETURN_LIMIT_MILLIS;
  }

  /** Returns whether {@code tokens} are more than all routers and the ledger had at last. */
  public boolean exceedsUnused(TokenCount tokens) {
    return ledgerAvailable >= 0 && tokens.value() > ledgerUnused;
  }

  /**
   * Returns the number of tokens that no request used as of the last answer of the ledger,
   * including those that routers held, or -1 before the first answer.
   */
  public long ledgerUnused() {
    return ledgerUnused;
  }

  /** Returns the unused tokens that this router should hold at most, as the ledger last stated. */
  public long maxHeld(long nowMillis) {
    return nowMillis - ledgerAnsweredAtMillis > MAX_HELD_TTL_MILLIS ? Long.MAX_VALUE : maxHeld;
  }

  /** Returns the time in milliseconds at which the ledger last answered. */
  public long ledgerAnsweredAtMillis() {
    return ledgerAnsweredAtMillis;
  }
}
