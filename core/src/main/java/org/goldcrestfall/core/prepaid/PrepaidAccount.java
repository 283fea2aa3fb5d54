package org.goldcrestfall.core.prepaid;

/**
 * One workspace's tokens at one router incarnation. A request reserves its largest size before it
 * is sent and settles what it used; the rest stays free. Tokens that are granted but not opened are
 * the reserve, which requests do not use. Not thread-safe.
 */
public final class PrepaidAccount {

  /** Time constant of the measured demand. */
  private static final double DEMAND_WINDOW_MILLIS = 8_000;

  /** A shorter measurement says too little of the demand to be extended over the window. */
  private static final long MIN_MEASURED_MILLIS = 4_000;

  /** What a search for tokens has not found is not searched for again for so long. */
  private static final long FAILED_SEARCH_TTL_MILLIS = 500;

  private long grantedTotal;
  private long returnedTotal;
  private long openedTotal;
  private long openReturnedTotal;
  private long free;
  private long reserved;
  private long spent;
  private double demandTokensPerMilli;
  private long demandUpdatedMillis;
  private long firstDemandMillis = -1;
  private long ledgerAvailable = -1;
  private long ledgerAt;
  private long failedSearchTokens = Long.MAX_VALUE;
  private long failedSearchExpiresAtMillis = Long.MIN_VALUE;

  /** Takes the ledger's answer; it holds sums, so a repeat changes nothing. */
  public void granted(PrepaidLedger.Allotment allotment, long nowMillis) {
    grantedTotal = Math.max(grantedTotal, allotment.grantedTotal());
    if (allotment.openedTotal() > openedTotal) {
      free += allotment.openedTotal() - openedTotal;
      openedTotal = allotment.openedTotal();
    }
    ledgerAvailable = allotment.available();
    ledgerAt = nowMillis;
  }

  /** Returns the granted tokens that are not open. */
  public long unopened() {
    return grantedTotal - returnedTotal - (openedTotal - openReturnedTotal);
  }

  /** Opens the whole reserve without the ledger. */
  public void openReserve() {
    long reserve = Math.max(0, unopened());
    openedTotal += reserve;
    free += reserve;
  }

  /** Returns what to tell the ledger, with what is asked for. */
  public PrepaidLedger.Demand demandFor(String workspace, long wanted, long needed, long toOpen) {
    return new PrepaidLedger.Demand(
        workspace,
        returnedTotal,
        openReturnedTotal,
        openedTotal,
        wanted,
        needed,
        toOpen,
        free + unopened());
  }

  /** Reserves tokens if they are free. */
  public boolean reserve(long tokens) {
    if (tokens > free) {
      return false;
    }
    free -= tokens;
    reserved += tokens;
    return true;
  }

  /** Ends a reservation of which {@code used} tokens were consumed. */
  public void settle(long reservedTokens, long used) {
    long taken = Math.min(used, reservedTokens);
    reserved -= reservedTokens;
    spent += taken;
    free += reservedTokens - taken;
  }

  /** Counts a request's largest size as demand, whether it can be served or not. */
  public void demand(long tokens, long nowMillis) {
    if (firstDemandMillis < 0) {
      firstDemandMillis = nowMillis;
      demandUpdatedMillis = nowMillis;
    }
    decay(nowMillis);
    demandTokensPerMilli += tokens / DEMAND_WINDOW_MILLIS;
  }

  /** Returns the tokens that the recent demand takes in a time. */
  public long expectedDemand(long millis, long nowMillis) {
    if (firstDemandMillis < 0) {
      return 0;
    }
    decay(nowMillis);
    // Until the window is full the average is too low by the part of it that was not yet measured.
    long measured = Math.max(MIN_MEASURED_MILLIS, nowMillis - firstDemandMillis);
    double filled = 1 - Math.exp(-measured / DEMAND_WINDOW_MILLIS);
    return (long) (demandTokensPerMilli / filled * millis);
  }

  private void decay(long nowMillis) {
    demandTokensPerMilli *= Math.exp((demandUpdatedMillis - nowMillis) / DEMAND_WINDOW_MILLIS);
    demandUpdatedMillis = nowMillis;
  }

  /** Gives up to {@code tokens} to another router; returns what was given. */
  public long lend(long tokens) {
    long given = Math.max(0, Math.min(tokens, free));
    free -= given;
    return given;
  }

  /** Takes what another router has given. */
  public void borrowed(long tokens) {
    free += tokens;
  }

  /** Notes that neither the ledger nor other routers had so many tokens. */
  public void noteVainSearch(long tokens, long nowMillis) {
    failedSearchTokens = nowMillis < failedSearchExpiresAtMillis ? Math.min(failedSearchTokens, tokens) : tokens;
    failedSearchExpiresAtMillis = nowMillis + FAILED_SEARCH_TTL_MILLIS;
  }

  /** Returns whether so many tokens, or fewer, were not found a short time ago. */
  public boolean isSearchVain(long tokens, long nowMillis) {
    return nowMillis < failedSearchExpiresAtMillis && tokens >= failedSearchTokens;
  }

  /** Returns tokens to the ledger by raising the sums of returns, from the reserve first. */
  public void giveBack(long tokens) {
    long closed = Math.max(0, Math.min(tokens, unopened()));
    returnedTotal += closed;
    giveBackOpen(tokens - closed);
  }

  /** Returns open tokens to the ledger. */
  public void giveBackOpen(long tokens) {
    long open = Math.max(0, Math.min(tokens, free));
    free -= open;
    returnedTotal += open;
    openReturnedTotal += open;
  }

  /** Returns the tokens that are neither reserved nor spent. */
  public long free() {
    return free;
  }

  /** Returns the tokens of running requests. */
  public long reserved() {
    return reserved;
  }

  /** Returns the tokens that requests have consumed here. */
  public long spent() {
    return spent;
  }

  /** Returns what no router held as of the last answer of the ledger, or -1 before the first. */
  public long ledgerAvailable() {
    return ledgerAvailable;
  }

  /** Returns when the ledger last answered. */
  public long ledgerAt() {
    return ledgerAt;
  }
}
