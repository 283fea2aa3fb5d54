package org.goldcrestfall.core.prepaid;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The control group's side of the escrow, part of the replicated state. At every moment the sum of
 * all grants less all returns of a workspace is at most the highest total that was in force.
 *
 * <p>A router holds tokens closed, as a reserve for the time in which it is cut off, and opens a
 * few at a time through the ledger. When a killed router starts again and its host's steady clock
 * shows that it ended before it may have opened its reserve by itself, the reserve comes back.
 */
public final class PrepaidLedger {

  /** A router is granted at most this part of what is left, so that a scarce rest reaches many. */
  private static final int MAX_GRANT_DIVISOR = 4;

  /**
   * What a router incarnation asks for; totals are sums over its whole life.
   *
   * @param returnedTotal all its returns
   * @param openReturnedTotal the part of its returns that was open
   * @param openedTotal all that it has opened
   * @param wanted the tokens that it would like to hold in addition
   * @param needed the part of them that a waiting request needs, granted also from a scarce rest
   * @param toOpen held tokens to be opened now
   * @param held tokens that no request uses, open or not
   */
  public record Demand(
      String workspace,
      long returnedTotal,
      long openReturnedTotal,
      long openedTotal,
      long wanted,
      long needed,
      long toOpen,
      long held) {}

  /** The answer: the sums of all grants and openings so far, and what no router holds. */
  public record Allotment(String workspace, long grantedTotal, long openedTotal, long available) {}

  /** The sums of one incarnation in one workspace. */
  public record Sums(
      String workspace,
      long grantedTotal,
      long returnedTotal,
      long openedTotal,
      long openReturnedTotal,
      long held) {}

  /**
   * All sums of one incarnation; {@code number} is that of its last request, {@code closed} tells
   * that another one has started on its host.
   */
  public record RouterSums(
      String router, long number, RouterLife life, boolean closed, List<Sums> sums) {}

  private static final class Holding {
    long granted;
    long returned;
    long opened;
    long openReturned;

    /** Unused tokens as last told, with what was granted since. */
    long held;

    long reserve() {
      return granted - returned - (opened - openReturned);
    }
  }

  private static final class Account {
    long lastRequestNumber;
    RouterLife life;
    boolean closed;
    final Map<String, Holding> holdings = new TreeMap<>();
  }

  private final Map<String, Long> totals = new HashMap<>();
  private final Map<String, Long> outstanding = new HashMap<>();
  private final Map<String, Account> routers = new TreeMap<>();
  private long reclaimed;

  /** Replaces the totals; a workspace that is not named is not limited and has no allotments. */
  public void setTotals(Map<String, Long> next) {
    totals.clear();
    totals.putAll(next);
  }

  /**
   * Takes returns and grants allotments. A request with a number that is not higher than the last
   * one of its incarnation grants and opens nothing.
   */
  public List<Allotment> renew(String router, long number, RouterLife life, List<Demand> demands) {
    Account account = routers.get(router);
    if (account == null) {
      closeEarlierIncarnations(life);
      account = new Account();
      account.life = life;
      routers.put(router, account);
    }
    boolean repeated = number <= account.lastRequestNumber || account.closed;
    if (!repeated) {
      account.lastRequestNumber = number;
      account.life = account.life.updatedBy(life);
    }
    List<Allotment> out = new ArrayList<>();
    for (Demand d : demands) {
      Holding h = account.holdings.computeIfAbsent(d.workspace(), w -> new Holding());
      if (!account.closed) {
        applySums(h, d);
      }
      if (!repeated) {
        grant(h, d);
      }
      out.add(new Allotment(d.workspace(), h.granted, h.opened, available(d.workspace())));
    }
    return out;
  }

  private void applySums(Holding h, Demand d) {
    long returned = Math.max(0, d.returnedTotal() - h.returned);
    h.returned += returned;
    outstanding.merge(d.workspace(), -returned, Long::sum);
    h.opened = Math.max(h.opened, d.openedTotal());
    h.openReturned = Math.max(h.openReturned, d.openReturnedTotal());
    h.held = d.held();
  }

  private void grant(Holding h, Demand d) {
    long available = available(d.workspace());
    if (d.wanted() > 0 && available > 0) {
      // Routers together hold no more than the ledger keeps, since all of it is lost with them.
      long spare = Math.max(0, (available - held(d.workspace())) / 2);
      long part = Math.min(spare, available / MAX_GRANT_DIVISOR);
      long granted = Math.min(d.wanted(), Math.max(part, Math.min(d.needed(), available)));
      h.granted += granted;
      h.held += granted;
      outstanding.merge(d.workspace(), granted, Long::sum);
    }
    h.opened += Math.max(0, Math.min(d.toOpen(), h.reserve()));
  }

  private long held(String workspace) {
    long sum = 0;
    for (Account a : routers.values()) {
      Holding h = a.closed ? null : a.holdings.get(workspace);
      sum += h == null ? 0 : h.held;
    }
    return sum;
  }

  /** Ends the earlier incarnations on a host, and takes their reserves where that is proved. */
  private void closeEarlierIncarnations(RouterLife life) {
    for (Account a : routers.values()) {
      if (a.closed || !a.life.host().equals(life.host())) {
        continue;
      }
      a.closed = true;
      if (a.life.endedBeforeOpening(life)) {
        a.holdings.forEach(this::reclaim);
      }
    }
  }

  private void reclaim(String workspace, Holding h) {
    long reserve = Math.max(0, h.reserve());
    h.granted -= reserve;
    outstanding.merge(workspace, -reserve, Long::sum);
    reclaimed += reserve;
  }

  /** Returns the tokens of a workspace that no router holds; 0 for an unknown workspace. */
  public long available(String workspace) {
    Long total = totals.get(workspace);
    return total == null ? 0 : Math.max(0, total - outstanding.getOrDefault(workspace, 0L));
  }

  /** Returns the tokens that came back from ended incarnations since this process started. */
  public long reclaimed() {
    return reclaimed;
  }

  /** Returns the sums of all incarnations, for a snapshot. */
  public List<RouterSums> routers() {
    List<RouterSums> out = new ArrayList<>();
    routers.forEach(
        (router, a) -> {
          List<Sums> sums = new ArrayList<>();
          a.holdings.forEach(
              (w, h) ->
                  sums.add(new Sums(w, h.granted, h.returned, h.opened, h.openReturned, h.held)));
          out.add(new RouterSums(router, a.lastRequestNumber, a.life, a.closed, sums));
        });
    return out;
  }

  /** Restores what {@link #routers} returned. */
  public void restore(List<RouterSums> stored) {
    routers.clear();
    outstanding.clear();
    for (RouterSums r : stored) {
      Account account = new Account();
      account.lastRequestNumber = r.number();
      account.life = r.life();
      account.closed = r.closed();
      for (Sums s : r.sums()) {
        Holding h = new Holding();
        h.granted = s.grantedTotal();
        h.returned = s.returnedTotal();
        h.opened = s.openedTotal();
        h.openReturned = s.openReturnedTotal();
        h.held = s.held();
        account.holdings.put(s.workspace(), h);
        outstanding.merge(s.workspace(), h.granted - h.returned, Long::sum);
      }
      routers.put(r.router(), account);
    }
  }
}
