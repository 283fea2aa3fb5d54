package org.goldcrestfall.core.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.ControlCommand.GrantAllotment;
import org.goldcrestfall.core.control.ControlCommand.ReturnAllotment;

/**
 * The allotments that this router incarnation holds, per workspace. A request reserves its
 * worst-case token count before dispatch and settles its actual use afterwards. Replies of the
 * control group may be delayed, duplicated or reordered: a grant is identified by its number and
 * counted once, and a return is reported as a cumulative total. Not thread-safe.
 */
public final class AllotmentLedger {

  private final Incarnation self;
  private final UseLimit limit;
  private final Map<String, Entry> entries = new HashMap<>();
  private long sharePerMille = 1000;

  /** Creates the empty ledger of a router without a disk. */
  public AllotmentLedger(Incarnation self) {
    this(self, UseLimit.NONE);
  }

  /** Creates the empty ledger of a router incarnation whose use is limited by {@code limit}. */
  public AllotmentLedger(Incarnation self, UseLimit limit) {
    this.self = self;
    this.limit = limit;
  }

  /** Returns the router incarnation. */
  public Incarnation self() {
    return self;
  }

  /**
   * Sets the share of each budget that this router may hold, in thousandths of the equal share of
   * one router; see {@link GrantPolicy#setReserveShare}.
   */
  public void setSharePerMille(long perMille) {
    checkArgument(perMille > 0, "perMille must be positive: %s", perMille);
    sharePerMille = perMille;
  }

  /** Returns the workspaces that this ledger has an entry for, in ascending order. */
  public Set<String> workspaces() {
    return new TreeSet<>(entries.keySet());
  }

  /** Returns the totals of a workspace, all 0 if it has no entry. */
  public AllotmentTotals totals(String workspace) {
    Entry e = entries.get(workspace);
    return e == null
        ? new AllotmentTotals(0, 0, 0, 0, 0, 0, 0)
        : new AllotmentTotals(
            e.granted,
            e.reserved,
            e.used,
            e.settled,
            e.returned,
            e.transferredIn,
            e.transferredOut);
  }

  /** Returns the number of tokens of a workspace that can be reserved. */
  public long available(String workspace) {
    Entry e = entries.get(workspace);
    return e == null ? 0 : e.available();
  }

  /**
   * Reserves tokens for a request, if they are available and the use limit covers them. Nothing is
   * reserved unless the result is {@link Reservation#RESERVED}.
   */
  public Reservation reserve(String workspace, long tokens) {
    checkTokens(tokens);
    Entry e = entry(workspace);
    if (tokens > e.available()) {
      return Reservation.EXHAUSTED;
    }
    if (!limit.allows(workspace, e.highestUse() + tokens)) {
      return Reservation.WATERMARK_PENDING;
    }
    e.reserved += tokens;
    return Reservation.RESERVED;
  }

  /** Converts {@code used} tokens of a reservation into unsettled use and releases the rest. */
  public void recordUse(String workspace, long reserved, long used) {
    checkTokens(used);
    checkArgument(used <= reserved, "use %s exceeds the reservation %s", used, reserved);
    release(workspace, reserved);
    entry(workspace).used += used;
  }

  /** Releases a reservation or a part of it. */
  public void release(String workspace, long tokens) {
    checkTokens(tokens);
    Entry e = entry(workspace);
    checkArgument(tokens <= e.reserved, "release %s exceeds reserved %s", tokens, e.reserved);
    e.reserved -= tokens;
  }

  /** Converts unsettled use into settled use after the control group charged its billing record. */
  public void charged(String workspace, long tokens) {
    releaseUnsettled(workspace, tokens);
    entry(workspace).settled += tokens;
  }

  /**
   * Makes unsettled use available again because the request was already charged by the record of
   * another router.
   */
  public void releaseUnsettled(String workspace, long tokens) {
    checkTokens(tokens);
    Entry e = entry(workspace);
    checkArgument(tokens <= e.used, "tokens %s exceed unsettled use %s", tokens, e.used);
    e.used -= tokens;
  }

  /** Converts a reservation into settled use after the start of a booking was committed. */
  public void bookingCharged(String workspace, long tokens) {
    release(workspace, tokens);
    entry(workspace).settled += tokens;
  }

  /** Reverses the charge of a booking after its outcome {@code NOT_RUN} was committed. */
  public void bookingRefunded(String workspace, long tokens) {
    checkTokens(tokens);
    Entry e = entry(workspace);
    checkArgument(tokens <= e.settled, "refund %s exceeds settled %s", tokens, e.settled);
    e.settled -= tokens;
  }

  /**
   * Returns the grant to request from the control group. While a request is unanswered, the same
   * request is returned again, so that a grant number is never used for two different amounts.
   *
   * @param needed the part of {@code tokens} that a waiting request needs
   */
  public GrantAllotment requestGrant(String workspace, long tokens, long needed) {
    checkTokens(tokens);
    checkArgument(
        needed >= 0 && needed <= tokens,
        "needed tokens %s must be between 0 and %s",
        needed,
        tokens);
    Entry e = entry(workspace);
    if (e.pendingGrant == null) {
      e.lastGrantNumber++;
      e.pendingGrant =
          new GrantAllotment(self, workspace, e.lastGrantNumber, tokens, needed, sharePerMille);
    }
    return e.pendingGrant;
  }

  /** Returns whether a grant was requested and has not been answered. */
  public boolean hasPendingGrant(String workspace) {
    return entry(workspace).pendingGrant != null;
  }

  /**
   * Adds the tokens of a grant if its number is that of the pending request, and ignores it
   * otherwise. Returns whether it was added.
   */
  public boolean grantReceived(String workspace, long number, long tokens) {
    checkTokens(tokens);
    Entry e = entry(workspace);
    if (e.pendingGrant == null || e.pendingGrant.number() != number) {
      return false;
    }
    e.pendingGrant = null;
    e.granted += tokens;
    return true;
  }

  /** Clears the pending grant request after the control group refused it. */
  public void grantRefused(String workspace, long number) {
    grantReceived(workspace, number, 0);
  }

  /**
   * Deducts up to {@code tokens} available tokens that are returned to the control group. Returns
   * how many were deducted.
   */
  public long returnTokens(String workspace, long tokens) {
    checkTokens(tokens);
    Entry e = entry(workspace);
    long deducted = Math.min(tokens, e.available());
    e.returned += deducted;
    return deducted;
  }

  /** Lists the returned totals that the control group has not acknowledged, to be sent again. */
  public List<ReturnAllotment> unacknowledgedReturns() {
    List<ReturnAllotment> result = new ArrayList<>();
    for (String workspace : workspaces()) {
      Entry e = entries.get(workspace);
      if (e.returned > e.returnAcknowledged) {
        result.add(new ReturnAllotment(self, workspace, e.returned));
      }
    }
    return result;
  }

  /** Records that the control group has applied a return. */
  public void returnAcknowledged(String workspace, long returnedTotal) {
    Entry e = entry(workspace);
    e.returnAcknowledged = Math.max(e.returnAcknowledged, returnedTotal);
  }

  /**
   * Deducts the tokens of an outgoing transfer and returns whether this was possible. A transfer
   * counts as use, so the use limit must cover it too.
   */
  boolean transferOut(String workspace, long tokens) {
    checkTokens(tokens);
    Entry e = entry(workspace);
    if (tokens > e.available() || !limit.allows(workspace, e.highestUse() + tokens)) {
      return false;
    }
    e.transferredOut += tokens;
    return true;
  }

  void transferIn(String workspace, long tokens) {
    checkTokens(tokens);
    entry(workspace).transferredIn += tokens;
  }

  private Entry entry(String workspace) {
    return entries.computeIfAbsent(workspace, w -> new Entry());
  }

  private static void checkTokens(long tokens) {
    checkArgument(tokens >= 0, "tokens must not be negative: %s", tokens);
  }

  private static final class Entry {
    long granted;
    long reserved;
    long used;
    long settled;
    long returned;
    long returnAcknowledged;
    long transferredIn;
    long transferredOut;
    long lastGrantNumber;
    GrantAllotment pendingGrant;

    long available() {
      return granted + transferredIn - transferredOut - returned - settled - used - reserved;
    }

    long highestUse() {
      return settled + used + reserved + transferredOut;
    }
  }
}
