package org.goldcrestfall.core.control;

import static org.goldcrestfall.core.common.ErrorKind.DRAINING;
import static org.goldcrestfall.core.common.ErrorKind.INVALID_PARAMETER;
import static org.goldcrestfall.core.common.ErrorKind.NOT_FOUND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.ControlReply.Refused;

/**
 * The budgets of all workspaces. It grants tokens to routers, accepts returned tokens, records
 * transfers between routers, and recovers the unused tokens of closed incarnations.
 */
final class BudgetTable {

  private final HostTable hosts;
  private final TreeMap<String, Budget> budgets = new TreeMap<>();

  BudgetTable(HostTable hosts) {
    this.hosts = hosts;
  }

  Budget find(String workspace) {
    return budgets.get(workspace);
  }

  void create(String workspace) {
    budgets.computeIfAbsent(workspace, Budget::new);
  }

  void topUp(String workspace, long tokens) {
    Budget b = budgets.get(workspace);
    b.paidIn += tokens;
    b.unallotted += tokens;
  }

  Account getOrCreateAccount(Budget budget, Incarnation router) {
    return budget.getOrCreateAccount(router, hosts.closedAt(router));
  }

  ControlReply grant(ControlCommand.GrantAllotment c) {
    Budget b = budgets.get(c.workspace());
    Refused refused = check(c.router(), b, c.workspace(), c.tokens());
    if (refused != null) {
      return refused;
    }
    if (!hosts.isOpen(c.router())) {
      return closedRefusal(c.router());
    }
    Account a = getOrCreateAccount(b, c.router());
    if (c.number() == a.lastGrantNumber) {
      return new ControlReply.Granted(c.number(), a.lastGrantTokens, b.unallotted);
    }
    if (c.number() < a.lastGrantNumber
        || c.needed() > c.tokens()
        || c.needed() < 0
        || c.sharePerMille() < 0) {
      return new Refused(
          INVALID_PARAMETER,
          "the grant number must be above " + a.lastGrantNumber + " and needed within tokens");
    }
    long remainingShare = fairShare(b, c.sharePerMille()) - a.balance();
    long limit = Math.max(c.needed(), Math.min(c.tokens(), remainingShare));
    final long tokens = Math.min(b.unallotted, limit);
    b.updateAccount(
        a,
        x -> {
          x.granted += tokens;
          x.lastGrantNumber = c.number();
          x.lastGrantTokens = tokens;
          x.shortage = Math.max(0, c.needed() - tokens);
        });
    return new ControlReply.Granted(c.number(), tokens, b.unallotted);
  }

  /** Returns the number of a budget's unsettled tokens that one router may hold. */
  private long fairShare(Budget b, long sharePerMille) {
    long perMille =
        sharePerMille == 0 ? 1000 : Math.min(sharePerMille, 1000L * hosts.openRouterCount());
    long unsettled = b.paidIn - b.settled;
    // Large budgets are divided first so that the product does not overflow a long.
    long weighted =
        unsettled < 1_000_000_000 ? unsettled * perMille / 1000 : unsettled / 1000 * perMille;
    return weighted / Math.max(1, hosts.openRouterCount());
  }

  ControlReply returnAllotment(ControlCommand.ReturnAllotment c) {
    Budget b = budgets.get(c.workspace());
    Refused refused = check(c.router(), b, c.workspace(), c.returnedTotal());
    if (refused != null) {
      return refused;
    }
    Account a = getOrCreateAccount(b, c.router());
    // If an operator has released the account, its tokens are already back in the budget.
    if (c.returnedTotal() > a.returned && a.released == 0) {
      b.updateAccount(a, x -> x.returned = c.returnedTotal());
    }
    return new ControlReply.Done();
  }

  ControlReply transfer(ControlCommand.TransferAllotment c) {
    Budget b = budgets.get(c.workspace());
    Refused refused = check(c.from(), b, c.workspace(), c.tokens());
    if (refused == null) {
      refused = check(c.to(), b, c.workspace(), c.tokens());
    }
    if (refused != null) {
      return refused;
    }
    if (c.number() < 1 || c.from().equals(c.to())) {
      return new Refused(INVALID_PARAMETER, "a transfer needs two routers and a number from 1");
    }
    Account from = getOrCreateAccount(b, c.from());
    Account to = getOrCreateAccount(b, c.to());
    if (from.seenTransfers.add(c.number())) {
      b.updateAccount(from, x -> x.transferredOut += c.tokens());
      b.updateAccount(to, x -> x.transferredIn += c.tokens());
      releaseRequestedAccounts();
    }
    return new ControlReply.Done();
  }

  /** Closes the accounts of the incarnations of a host whose boot number is below {@code boot}. */
  void close(String host, long boot, long index) {
    for (Budget b : budgets.values()) {
      for (Account a : b.accounts.values()) {
        if (a.closedAt == 0 && a.router.host().equals(host) && a.router.boot() < boot) {
          a.closedAt = index;
          a.shortage = 0;
        }
      }
      b.dropEmptyClosedAccounts();
    }
  }

  /**
   * Applies the proved highest use of a closed incarnation to its accounts, which frees the tokens
   * beyond it. Returns null, or the refusal if the proof is not valid.
   */
  Refused applyUsageProof(
      Incarnation incarnation, Map<String, Long> highestUsed, boolean complete) {
    for (Map.Entry<String, Long> e : highestUsed.entrySet()) {
      if (e.getValue() < 0 || !budgets.containsKey(e.getKey())) {
        return new Refused(INVALID_PARAMETER, "the highest use names an unknown workspace");
      }
    }
    for (Budget b : budgets.values()) {
      Long used = highestUsed.getOrDefault(b.workspace, complete ? 0L : null);
      Account a = b.accounts.get(incarnation);
      if (a != null && used != null && a.released == 0) {
        b.updateAccount(a, x -> x.highestUsed = Math.max(x.highestUsed, used));
      }
    }
    return null;
  }

  /**
   * Requests the release of an incarnation's stranded tokens; see {@link Intent.ReleaseStranded}.
   */
  void requestRelease(String workspace, Incarnation incarnation) {
    Account a = budgets.get(workspace).accounts.get(incarnation);
    if (a != null) {
      a.releaseRequested = true;
      releaseRequestedAccounts();
    }
  }

  /**
   * Releases the accounts whose release was requested and from which no router can still hold an
   * unreported transfer. After an earlier release, a router that received tokens from the closed
   * incarnation could spend them although they are available to other routers again.
   */
  void releaseRequestedAccounts() {
    for (Budget b : budgets.values()) {
      for (Account a : b.accounts.values()) {
        if (a.releaseRequested && a.closedAt > 0 && hosts.allReportedThrough(a.closedAt)) {
          b.release(a);
        }
      }
    }
  }

  /** Returns the workspaces whose shortage exceeds their unallotted tokens. */
  List<BudgetShortage> shortages() {
    List<BudgetShortage> result = new ArrayList<>();
    for (Budget b : budgets.values()) {
      long shortage = b.shortage();
      if (shortage > b.unallotted) {
        result.add(new BudgetShortage(b.workspace, b.unallotted, shortage));
      }
    }
    return result;
  }

  List<AllotmentAccount> accounts(Incarnation incarnation) {
    List<AllotmentAccount> result = new ArrayList<>();
    for (Budget b : budgets.values()) {
      Account a = b.accounts.get(incarnation);
      if (a != null) {
        result.add(a.view());
      }
    }
    return result;
  }

  static Refused closedRefusal(Incarnation router) {
    return new Refused(DRAINING, "the router incarnation " + router + " is closed");
  }

  /**
   * Checks the router, workspace and token count of a command. Returns null, or the refusal if one
   * of them is not valid; {@code budget} is null if the workspace does not exist.
   */
  Refused check(Incarnation router, Budget budget, String workspace, long tokens) {
    if (!hosts.isKnown(router)) {
      return new Refused(NOT_FOUND, "the router incarnation " + router + " is not registered");
    }
    if (budget == null) {
      return new Refused(NOT_FOUND, "there is no workspace " + workspace);
    }
    if (tokens < 0 || tokens > IntentChecks.MAX_TOKENS) {
      return new Refused(INVALID_PARAMETER, "tokens must be 0 to " + IntentChecks.MAX_TOKENS);
    }
    return null;
  }

  List<Budget.Saved> save() {
    return budgets.values().stream().map(Budget::save).toList();
  }

  void restore(List<Budget.Saved> saved) {
    saved.forEach(s -> budgets.put(s.workspace(), Budget.restore(s)));
  }
}
