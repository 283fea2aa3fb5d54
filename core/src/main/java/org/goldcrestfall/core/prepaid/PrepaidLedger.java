package org.goldcrestfall.core.prepaid;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The control group's side of the escrow, part of the replicated state. At every moment the sum of
 * all grants less all returns of a workspace is at most the highest total that was in force.
 */
public final class PrepaidLedger {

  /** A router is granted at most this part of what is left, so that a scarce rest reaches many. */
  private static final int SCARCE_PARTS = 4;

  /**
   * What a router incarnation asks for.
   *
   * @param returnedTotal the sum of all its returns
   * @param wanted the tokens that it would like to hold in addition
   * @param needed the part of them that a waiting request needs, granted also from a scarce rest
   */
  public record Demand(String workspace, long returnedTotal, long wanted, long needed) {}

  /** The answer: the sum of all grants so far, and what no router holds. */
  public record Allotment(String workspace, long grantedTotal, long available) {}

  /** The sums of one incarnation in one workspace. */
  public record Sums(String workspace, long grantedTotal, long returnedTotal) {}

  /** All sums of one incarnation; {@code number} is that of its last request. */
  public record RouterSums(String router, long number, List<Sums> sums) {}

  private static final class Account {
    long number;
    final Map<String, long[]> sums = new TreeMap<>();
  }

  private final Map<String, Long> totals = new HashMap<>();
  private final Map<String, Long> outstanding = new HashMap<>();
  private final Map<String, Account> routers = new TreeMap<>();

  /** Replaces the totals; a workspace that is not named is not limited and has no allotments. */
  public void setTotals(Map<String, Long> next) {
    totals.clear();
    totals.putAll(next);
  }

  /** Returns the totals in force. */
  public Map<String, Long> totals() {
    return Map.copyOf(totals);
  }

  /**
   * Takes returns and grants allotments. A request with a number that is not higher than the last
   * one of its incarnation grants nothing.
   */
  public List<Allotment> renew(String router, long number, List<Demand> demands) {
    Account account = routers.computeIfAbsent(router, r -> new Account());
    boolean repeated = number <= account.number;
    account.number = Math.max(account.number, number);
    List<Allotment> out = new ArrayList<>();
    for (Demand d : demands) {
      long[] sums = account.sums.computeIfAbsent(d.workspace(), w -> new long[2]);
      long returned = Math.max(0, d.returnedTotal() - sums[1]);
      sums[1] += returned;
      outstanding.merge(d.workspace(), -returned, Long::sum);
      long available = available(d.workspace());
      if (!repeated && d.wanted() > 0 && available > 0) {
        long part = Math.max(available / SCARCE_PARTS, Math.min(d.needed(), available));
        long granted = Math.min(d.wanted(), part);
        sums[0] += granted;
        outstanding.merge(d.workspace(), granted, Long::sum);
        available -= granted;
      }
      out.add(new Allotment(d.workspace(), sums[0], available));
    }
    return out;
  }

  /** Returns the tokens of a workspace that no router holds; 0 for an unknown workspace. */
  public long available(String workspace) {
    Long total = totals.get(workspace);
    return total == null ? 0 : Math.max(0, total - outstanding.getOrDefault(workspace, 0L));
  }

  /** Returns the sums of all incarnations, for a snapshot. */
  public List<RouterSums> routers() {
    List<RouterSums> out = new ArrayList<>();
    routers.forEach(
        (router, account) -> {
          List<Sums> sums = new ArrayList<>();
          account.sums.forEach((w, s) -> sums.add(new Sums(w, s[0], s[1])));
          out.add(new RouterSums(router, account.number, sums));
        });
    return out;
  }

  /** Restores what {@link #routers} returned. */
  public void restore(List<RouterSums> stored) {
    routers.clear();
    outstanding.clear();
    for (RouterSums r : stored) {
      Account account = new Account();
      account.number = r.number();
      for (Sums s : r.sums()) {
        account.sums.put(s.workspace(), new long[] {s.grantedTotal(), s.returnedTotal()});
        outstanding.merge(s.workspace(), s.grantedTotal() - s.returnedTotal(), Long::sum);
      }
      routers.put(r.router(), account);
    }
  }
}
