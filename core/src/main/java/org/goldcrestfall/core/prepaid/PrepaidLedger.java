package org.goldcrestfall.core.prepaid;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.TokenCount;

/**
 * The control group's side of the escrow of prepaid tokens, part of the replicated state. At any
 * time, the grants of a workspace less its returns are at most the highest total that was in force.
 *
 * <p>A router holds granted tokens as a reserve for the time in which it cannot reach the control
 * group, and opens a few at a time through the ledger. Only open tokens can be used by requests.
 * Without the ledger, a router opens its reserve by a {@link ReserveSchedule}. When a router
 * restarts, the monotonic clock of its host or the leader's clock shows how long its earlier
 * incarnation can have lived, and the part of the reserve that the schedule had not opened by then
 * is reclaimed.
 */
public final class PrepaidLedger {

  /**
   * A grant without a waiting request is at most the available tokens divided by this, so that
   * scarce tokens are spread over many routers.
   */
  private static final int MAX_GRANT_DIVISOR = 4;

  /**
   * All routers together hold at most the unused tokens of a workspace divided by this, because the
   * tokens that they hold are lost if all of them lose power.
   */
  private static final int MAX_HELD_DIVISOR = 2;

  /** Share of a total that stays with the ledger; it is granted only to waiting requests. */
  private static final double LEDGER_SHARE = 0.06;

  /** A router is told to return tokens if it holds this multiple of what it should. */
  private static final double EXCESS_RATIO = 1.3;

  /**
   * The answer to a {@link Demand}: the cumulative totals of granted and opened tokens, and the
   * tokens that no router holds.
   *
   * @param unused the available tokens and those that routers hold and no request uses
   * @param maxHeld the unused tokens that the router should hold at most; {@link Long#MAX_VALUE}
   *     unless the unused tokens of the workspace are scarce
   */
  public record Allotment(
      String workspace,
      long grantedTotal,
      long openedTotal,
      long available,
      long unused,
      long maxHeld) {}

  /** The cumulative totals of one incarnation in one workspace, and the tokens that it holds. */
  public record WorkspaceTotals(
      String workspace,
      long grantedTotal,
      long returnedTotal,
      long openedTotal,
      long openReturnedTotal,
      long held) {

    /** Takes counts out of the range of a {@link TokenCount} for the nearest one. */
    public WorkspaceTotals {
      grantedTotal = TokenCount.clamp(grantedTotal);
      returnedTotal = TokenCount.clamp(returnedTotal);
      openedTotal = TokenCount.clamp(openedTotal);
      openReturnedTotal = TokenCount.clamp(openReturnedTotal);
      held = TokenCount.clamp(held);
    }
  }

  /**
   * The totals of one incarnation in all workspaces.
   *
   * @param number the number of its last request
   * @param closed whether another incarnation has started on its host
   */
  public record IncarnationTotals(
      String router,
      long number,
      IncarnationTimes times,
      boolean closed,
      List<WorkspaceTotals> sums) {}

  /**
   * Where the tokens of a workspace are. The rest of the total was used, or is reserved by
   * requests.
   *
   * @param held the unused tokens of running incarnations, as they last reported
   * @param stranded the unused tokens that ended incarnations last reported, less those reclaimed
   */
  public record Distribution(long total, long available, long held, long stranded) {

    /** Returns the stranded tokens as a fraction of the total. */
    public double strandedShare() {
      return total == 0 ? 0 : (double) stranded / total;
    }
  }

  /** The end of an incarnation that held tokens, when another one starts on its host. */
  public record Closure(String router, String workspace, WorkspaceTotals totals, long reclaimed) {}

  private static final class Holding {
    long granted;
    long returned;
    long opened;
    long openReturned;

    /** Unused tokens as last reported by the router, plus the tokens granted since. */
    long held;

    long reserve() {
      return granted - returned - (opened - openReturned);
    }
  }

  private static final class Account {
    long lastRequestNumber;
    IncarnationTimes times;
    boolean closed;
    final Map<String, Holding> holdings = new TreeMap<>();
  }

  private final Map<String, Long> totals = new HashMap<>();
  private final Map<String, Long> outstanding = new HashMap<>();

  /** Sum of {@link Holding#held} over the incarnations that are not closed, by workspace. */
  private final Map<String, Long> heldSums = new HashMap<>();

  /** Sum of {@link Holding#held} over the closed incarnations, by workspace. */
  private final Map<String, Long> strandedSums = new HashMap<>();

  private final Map<String, Account> routers = new TreeMap<>();
  private Consumer<Closure> closureListener = closure -> {};
  private long reclaimed;

  /** Sets the receiver of the ends of incarnations. */
  public void onClosure(Consumer<Closure> listener) {
    closureListener = listener;
  }

  /** Replaces the totals. A workspace without a total is unlimited and has no allotments. */
  public void setTotals(Map<String, Long> next) {
    totals.clear();
    next.forEach((workspace, total) -> totals.put(workspace, TokenCount.clampBalance(total)));
  }

  /**
   * Applies the returns of a router incarnation and grants allotments. A request grants and opens
   * nothing if its number is not higher than the last one of the incarnation, or if the incarnation
   * is closed.
   *
   * @param proposedAt the leader's clocks when it proposed the request
   * @param rule the rule of the group when the request was proposed
   */
  public List<Allotment> renew(
      String router,
      long number,
      IncarnationTimes times,
      List<Demand> demands,
      LeaderTime proposedAt,
      GrantRule rule) {
    Account account = openAccount(router, times, proposedAt);
    boolean repeated = number <= account.lastRequestNumber || account.closed;
    if (!repeated) {
      account.lastRequestNumber = number;
      account.times = account.times.updatedBy(times);
    }
    List<Allotment> allotments = new ArrayList<>();
    for (Demand d : demands) {
      Holding h = account.holdings.computeIfAbsent(d.workspace(), w -> new Holding());
      if (!account.closed) {
        applyReportedTotals(h, d);
      }
      if (!repeated && rule == GrantRule.WHOLE_REQUESTS) {
        grantWholeRequests(h, d);
      } else if (!repeated) {
        grantParts(h, d);
      }
    }
    demands.forEach(d -> allotments.add(allotment(d.workspace(), account)));
    if (!account.closed) {
      addExcessiveHoldings(account, demands, allotments);
    }
    return allotments;
  }

  private Account openAccount(String router, IncarnationTimes times, LeaderTime proposedAt) {
    Account account = routers.get(router);
    if (account == null) {
      closeEarlierIncarnations(times, proposedAt);
      account = new Account();
      account.times = times;
      routers.put(router, account);
    }
    return account;
  }

  private Allotment allotment(String workspace, Account account) {
    Holding h = account.holdings.get(workspace);
    return new Allotment(
        workspace,
        h.granted,
        h.opened,
        available(workspace),
        unused(workspace),
        maxHeld(h, workspace));
  }

  /** Adds the holdings without a demand of which the router should return a part. */
  private void addExcessiveHoldings(
      Account account, List<Demand> demands, List<Allotment> allotments) {
    account.holdings.forEach(
        (workspace, h) -> {
          boolean excessive = h.held > EXCESS_RATIO * maxHeld(h, workspace);
          if (excessive && demands.stream().noneMatch(d -> d.workspace().equals(workspace))) {
            allotments.add(allotment(workspace, account));
          }
        });
  }

  private long unused(String workspace) {
    return available(workspace) + heldSums.getOrDefault(workspace, 0L);
  }

  /** Returns the unused tokens that all routers together may hold. */
  private long maxHeldSum(String workspace) {
    long unused = unused(workspace);
    long kept = (long) (LEDGER_SHARE * totals.getOrDefault(workspace, 0L));
    return Math.max(0, Math.min(unused / MAX_HELD_DIVISOR, unused - kept));
  }

  /** Returns the router's share of what all routers may hold, in proportion to what they hold. */
  private long maxHeld(Holding h, String workspace) {
    long heldSum = heldSums.getOrDefault(workspace, 0L);
    long allowedSum = maxHeldSum(workspace);
    return heldSum <= allowedSum ? Long.MAX_VALUE : (long) ((double) h.held * allowedSum / heldSum);
  }

  private void applyReportedTotals(Holding h, Demand d) {
    // More than all routers hold cannot be returned, whatever a router reports.
    long returned =
        Math.min(
            Math.max(0, d.returnedTotal() - h.returned),
            Math.max(0, outstanding.getOrDefault(d.workspace(), 0L)));
    h.returned += returned;
    outstanding.merge(d.workspace(), -returned, Long::sum);
    h.opened = Math.max(h.opened, d.openedTotal());
    h.openReturned = Math.max(h.openReturned, d.openReturnedTotal());
    setHeld(d.workspace(), h, d.held());
  }

  private void setHeld(String workspace, Holding h, long held) {
    heldSums.merge(workspace, held - h.held, Long::sum);
    h.held = held;
  }

  private void grantParts(Holding h, Demand d) {
    grant(h, d.workspace(), d.wanted(), Math.min(d.needed(), available(d.workspace())));
    open(h, d.toOpen());
  }

  private void grantWholeRequests(Holding h, Demand d) {
    Waiting waiting = d.waitingOrSum();
    final long covered = waiting.covered(d.held() + available(d.workspace()));
    final long open = d.held() - h.reserve();
    long needed = Math.max(0, covered - d.held());
    grant(h, d.workspace(), Math.max(needed, waiting.wanted()), needed);
    open(h, Math.max(covered - open, waiting.toOpen()));
  }

  /**
   * Grants tokens that a router wants; {@code needed} of them, which are available, in any case.
   */
  private void grant(Holding h, String workspace, long wanted, long needed) {
    long available = available(workspace);
    if (wanted <= 0 || available <= 0) {
      return;
    }
    long heldSum = heldSums.getOrDefault(workspace, 0L);
    long heldLimit = Math.max(0, maxHeldSum(workspace) - heldSum);
    long unneededLimit = Math.min(heldLimit, available / MAX_GRANT_DIVISOR);
    long granted = Math.min(wanted, Math.max(unneededLimit, needed));
    h.granted += granted;
    setHeld(workspace, h, h.held + granted);
    outstanding.merge(workspace, granted, Long::sum);
  }

  private static void open(Holding h, long tokens) {
    h.opened += Math.max(0, Math.min(tokens, h.reserve()));
  }

  /**
   * Closes the earlier incarnations on a host, and reclaims the part of their reserves that they
   * provably did not open.
   */
  private void closeEarlierIncarnations(IncarnationTimes times, LeaderTime proposedAt) {
    routers.forEach(
        (router, a) -> {
          if (!a.closed && a.times.host().equals(times.host())) {
            close(router, a, times, proposedAt);
          }
        });
  }

  private void close(
      String router, Account account, IncarnationTimes later, LeaderTime proposedAt) {
    account.closed = true;
    account.holdings.forEach(
        (workspace, h) -> {
          heldSums.merge(workspace, -h.held, Long::sum);
          WorkspaceTotals before = totalsOf(workspace, h);
          long reclaimedNow = account.times.provablyUnopened(h.reserve(), later, proposedAt);
          reclaim(workspace, h, reclaimedNow);
          strandedSums.merge(workspace, h.held, Long::sum);
          closureListener.accept(new Closure(router, workspace, before, reclaimedNow));
        });
  }

  private void reclaim(String workspace, Holding h, long tokens) {
    h.granted -= tokens;
    h.held = Math.max(0, h.held - tokens);
    outstanding.merge(workspace, -tokens, Long::sum);
    reclaimed += tokens;
  }

  /** Returns the number of tokens that no router holds; 0 for a workspace without a total. */
  public long available(String workspace) {
    Long total = totals.get(workspace);
    return total == null ? 0 : Math.max(0, total - outstanding.getOrDefault(workspace, 0L));
  }

  /** Returns where the tokens of a workspace are. */
  public Distribution distribution(String workspace) {
    return new Distribution(
        totals.getOrDefault(workspace, 0L),
        available(workspace),
        heldSums.getOrDefault(workspace, 0L),
        strandedSums.getOrDefault(workspace, 0L));
  }

  private static WorkspaceTotals totalsOf(String workspace, Holding h) {
    return new WorkspaceTotals(workspace, h.granted, h.returned, h.opened, h.openReturned, h.held);
  }

  /** Returns the number of tokens reclaimed from closed incarnations since this process started. */
  public long reclaimed() {
    return reclaimed;
  }

  /** Returns the totals of all incarnations, for a snapshot. */
  public List<IncarnationTotals> routers() {
    List<IncarnationTotals> result = new ArrayList<>();
    routers.forEach(
        (router, a) -> {
          List<WorkspaceTotals> workspaceTotals = new ArrayList<>();
          a.holdings.forEach((w, h) -> workspaceTotals.add(totalsOf(w, h)));
          result.add(
              new IncarnationTotals(
                  router, a.lastRequestNumber, a.times, a.closed, workspaceTotals));
        });
    return result;
  }

  /** Replaces the totals of all incarnations with the result of {@link #routers}. */
  public void restore(List<IncarnationTotals> stored) {
    routers.clear();
    outstanding.clear();
    heldSums.clear();
    strandedSums.clear();
    for (IncarnationTotals r : stored) {
      Account account = new Account();
      account.lastRequestNumber = r.number();
      account.times = r.times();
      account.closed = r.closed();
      for (WorkspaceTotals workspaceTotals : r.sums()) {
        Holding h = new Holding();
        h.granted = workspaceTotals.grantedTotal();
        h.returned = workspaceTotals.returnedTotal();
        h.opened = workspaceTotals.openedTotal();
        h.openReturned = workspaceTotals.openReturnedTotal();
        h.held = workspaceTotals.held();
        account.holdings.put(workspaceTotals.workspace(), h);
        outstanding.merge(workspaceTotals.workspace(), h.granted - h.returned, Long::sum);
        Map<String, Long> sums = account.closed ? strandedSums : heldSums;
        sums.merge(workspaceTotals.workspace(), h.held, Long::sum);
      }
      routers.put(r.router(), account);
    }
  }
}
