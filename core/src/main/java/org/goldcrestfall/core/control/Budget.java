package org.goldcrestfall.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.Incarnation;

/**
 * The budget of one workspace, held in escrow: tokens are allotted to a router before it may spend
 * them, and only unallotted tokens are granted. The invariant {@code unallotted + settled +
 * outstanding + stranded == paidIn} holds after every change.
 */
final class Budget {

  /**
   * The number of closed accounts with a zero balance that are retained. Dropping one loses its
   * highest use and its transfer numbers, so a transfer from or to its incarnation that is recorded
   * later goes to a new account. The sums of the budget do not change.
   */
  static final int MAX_EMPTY_CLOSED_ACCOUNTS = 256;

  final String workspace;
  final TreeMap<Incarnation, Account> accounts = new TreeMap<>();
  long paidIn;
  long unallotted;
  long settled;
  long writtenOff;

  Budget(String workspace) {
    this.workspace = workspace;
  }

  /** Returns the account of a router; a new one gets {@code closedAt} as its closing index. */
  Account getOrCreateAccount(Incarnation router, long closedAt) {
    return accounts.computeIfAbsent(
        router,
        r -> {
          Account a = new Account(workspace, r);
          a.closedAt = closedAt;
          return a;
        });
  }

  /** Updates an account and adjusts the unallotted tokens accordingly. */
  void updateAccount(Account a, Consumer<Account> change) {
    long before = a.netAllotted();
    change.accept(a);
    a.updateFreed();
    unallotted -= a.netAllotted() - before;
  }

  /**
   * Charges tokens to an account. If an operator has released the account's stranded tokens, the
   * charge is limited to its balance and the rest is written off, so that the budget is never
   * overspent.
   */
  void charge(Account a, long tokens) {
    long amount = tokens;
    if (a.releaseRequested && a.released > 0) {
      amount = Math.max(0, Math.min(tokens, a.balance()));
      writtenOff += tokens - amount;
    }
    final long charged = amount;
    settled += charged;
    updateAccount(a, x -> x.charged += charged);
  }

  /** Reverses a charge. */
  void refund(Account a, long tokens) {
    settled -= tokens;
    updateAccount(a, x -> x.charged -= tokens);
  }

  /** Makes the balance of an account whose release was requested unallotted again. */
  void release(Account a) {
    long balance = a.balance();
    if (balance > 0) {
      updateAccount(a, x -> x.released += balance);
    }
  }

  /**
   * Drops closed accounts with a zero balance, in the order of their closing, until {@link
   * #MAX_EMPTY_CLOSED_ACCOUNTS} are left.
   */
  void dropEmptyClosedAccounts() {
    List<Account> emptyClosed = new ArrayList<>();
    for (Account a : accounts.values()) {
      if (a.closedAt > 0 && a.balance() == 0) {
        emptyClosed.add(a);
      }
    }
    emptyClosed.sort((a, b) -> Long.compare(a.closedAt, b.closedAt));
    for (int i = 0; i < emptyClosed.size() - MAX_EMPTY_CLOSED_ACCOUNTS; i++) {
      accounts.remove(emptyClosed.get(i).router);
    }
  }

  /** Returns the tokens that open routers need beyond their last grants. */
  long shortage() {
    long sum = 0;
    for (Account a : accounts.values()) {
      sum += a.closedAt == 0 ? a.shortage : 0;
    }
    return sum;
  }

  BudgetView view() {
    long outstanding = 0;
    long stranded = 0;
    Map<String, Long> byRouter = new TreeMap<>();
    for (Account a : accounts.values()) {
      long balance = a.balance();
      if (a.closedAt > 0) {
        stranded += balance;
      } else {
        outstanding += balance;
        byRouter.put(a.router.toString(), balance);
      }
    }
    return new BudgetView(
        workspace, paidIn, settled, outstanding, stranded, byRouter, unallotted, writtenOff);
  }

  Saved save() {
    return new Saved(
        workspace,
        paidIn,
        unallotted,
        settled,
        writtenOff,
        accounts.values().stream().map(Account::save).toList());
  }

  static Budget restore(Saved s) {
    Budget b = new Budget(s.workspace());
    b.paidIn = s.paidIn();
    b.unallotted = s.unallotted();
    b.settled = s.settled();
    b.writtenOff = s.writtenOff();
    for (Account.Saved a : s.accounts()) {
      b.accounts.put(a.account().router(), Account.restore(a));
    }
    return b;
  }

  /** The form of a budget in a snapshot. */
  public record Saved(
      String workspace,
      long paidIn,
      long unallotted,
      long settled,
      long writtenOff,
      List<Account.Saved> accounts) {}
}
