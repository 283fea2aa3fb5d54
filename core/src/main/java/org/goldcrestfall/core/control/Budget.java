package org.goldcrestfall.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.Incarnation;

/**
 * The escrow of one workspace. {@code unallotted + settled + outstanding + stranded == paidIn}
 * holds after every change, and only the unallotted rest is granted.
 */
final class Budget {

  /**
   * Closed accounts without tokens that are kept. When one is dropped, its highest use is forgotten
   * and a transfer of it that is recorded later is attributed anew; the sums do not change.
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

  Account getOrCreateAccount(Incarnation router, long closedAt) {
    return accounts.computeIfAbsent(
        router,
        r -> {
          Account a = new Account(workspace, r);
          a.closedAt = closedAt;
          return a;
        });
  }

  /** Changes an account and carries the effect on the unallotted rest. */
  void updateAccount(Account a, Consumer<Account> change) {
    long before = a.netAllotted();
    change.accept(a);
    a.updateFreed();
    unallotted -= a.netAllotted() - before;
  }

  /**
   * Charges tokens to an account. The charge of an account whose stranded tokens an operator has
   * released is limited to its balance, so that the release never leads to overspending; the rest
   * is written off.
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

  void refund(Account a, long tokens) {
    settled -= tokens;
    updateAccount(a, x -> x.charged -= tokens);
  }

  /** Moves the balance of an account whose release was requested to the unallotted rest. */
  void release(Account a) {
    long balance = a.balance();
    if (balance > 0) {
      updateAccount(a, x -> x.released += balance);
    }
  }

  /** Drops the closed accounts without tokens beyond the retention, in order of their closing. */
  void dropEmptyClosedAccounts() {
    List<Account> spent = new ArrayList<>();
    for (Account a : accounts.values()) {
      if (a.closedAt > 0 && a.balance() == 0) {
        spent.add(a);
      }
    }
    spent.sort((a, b) -> Long.compare(a.closedAt, b.closedAt));
    for (int i = 0; i < spent.size() - MAX_EMPTY_CLOSED_ACCOUNTS; i++) {
      accounts.remove(spent.get(i).router);
    }
  }

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

  /** The budget in a snapshot. */
  public record Saved(
      String workspace,
      long paidIn,
      long unallotted,
      long settled,
      long writtenOff,
      List<Account.Saved> accounts) {}
}
