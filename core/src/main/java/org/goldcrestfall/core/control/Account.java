package org.goldcrestfall.core.control;

import java.util.List;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.SequenceNumberSet;

/** The mutable form of an {@link AllotmentAccount}. */
final class Account {

  /** The value of {@link #highestUsed} before any use of a closed incarnation is proved. */
  static final long NO_PROOF = -1;

  final String workspace;
  final Incarnation router;
  long granted;
  long transferredIn;
  long transferredOut;
  long charged;
  long returned;
  long highestUsed = NO_PROOF;
  long freed;
  long released;
  long closedAt;
  boolean releaseRequested;
  long lastGrantNumber;
  long lastGrantTokens;
  long shortage;
  SequenceNumberSet seenTransfers = new SequenceNumberSet();

  Account(String workspace, Incarnation router) {
    this.workspace = workspace;
    this.router = router;
  }

  /** Returns the balance; see {@link AllotmentAccount#balance}. */
  long balance() {
    return granted + transferredIn - transferredOut - charged - returned - freed - released;
  }

  /** Returns the tokens granted from the budget less those that went back to it. */
  long netAllotted() {
    return granted - returned - freed - released;
  }

  /**
   * Recomputes the tokens that the proof of use frees. A transfer or return that is recorded after
   * the proof changes the result, so this must run after every change of the account.
   */
  void updateFreed() {
    if (highestUsed == NO_PROOF) {
      return;
    }
    long used = Math.max(highestUsed, charged + transferredOut);
    freed = Math.max(0, granted + transferredIn - returned - used);
  }

  AllotmentAccount view() {
    return new AllotmentAccount(
        workspace,
        router,
        granted,
        transferredIn,
        transferredOut,
        charged,
        returned,
        highestUsed,
        freed,
        released,
        closedAt,
        releaseRequested);
  }

  Saved save() {
    return new Saved(
        view(),
        lastGrantNumber,
        lastGrantTokens,
        shortage,
        seenTransfers.through(),
        seenTransfers.ahead());
  }

  static Account restore(Saved s) {
    AllotmentAccount v = s.account();
    Account a = new Account(v.workspace(), v.router());
    a.granted = v.granted();
    a.transferredIn = v.transferredIn();
    a.transferredOut = v.transferredOut();
    a.charged = v.charged();
    a.returned = v.returned();
    a.highestUsed = v.highestUsed();
    a.freed = v.freed();
    a.released = v.released();
    a.closedAt = v.closedAt();
    a.releaseRequested = v.releaseRequested();
    a.lastGrantNumber = s.lastGrantNumber();
    a.lastGrantTokens = s.lastGrantTokens();
    a.shortage = s.shortage();
    a.seenTransfers = new SequenceNumberSet(s.transfersThrough(), s.transfersAhead());
    return a;
  }

  /** The form of an account in a snapshot. */
  public record Saved(
      AllotmentAccount account,
      long lastGrantNumber,
      long lastGrantTokens,
      long shortage,
      long transfersThrough,
      List<Long> transfersAhead) {}
}
