package org.goldcrestfall.daemon.site;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.goldcrestfall.core.common.TokenCount;
import org.goldcrestfall.core.prepaid.PrepaidAccount;
import org.goldcrestfall.daemon.site.PrepaidTokens.Outcome;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.TokenLoanRequest;

/**
 * The search for the prepaid tokens of one request. It asks the ledger, and also other routers if
 * the ledger is slow or has too few tokens. Confined to one event loop.
 */
final class TokenSearch {

  /** Timeout of a loan request; other routers of the region answer within a few milliseconds. */
  private static final long LOAN_TIMEOUT_MILLIS = 150;

  /** Number of routers that are asked for loans in the first round. */
  private static final int FIRST_ROUND_LENDERS = 4;

  /**
   * Number of routers that are asked in each later round, if the earlier rounds found too few
   * tokens.
   */
  private static final int LATER_ROUND_LENDERS = 12;

  /** Maximum number of rounds; in a large fleet, some routers are therefore not asked. */
  private static final int MAX_ROUNDS = 2;

  /** If there are several lenders, each is asked for the missing tokens divided by this number. */
  private static final int LOAN_DIVISOR = 2;

  /** Time before other routers are asked too; the ledger answers within a few milliseconds. */
  private static final long LEDGER_HEAD_START_MILLIS = 40;

  /** A router without contact to a control daemon for this time asks other routers at once. */
  private static final long MAX_CONTACT_AGE_MILLIS = 1_600;

  private final SiteClient siteClient;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final String workspace;
  private final PrepaidAccount account;
  private final TokenCount tokens;
  private final Supplier<CompletableFuture<Void>> askLedger;
  private final BooleanSupplier isBeyondBudget;
  private final Supplier<Outcome> failureOutcome;
  private final List<String> lenders;
  private final CompletableFuture<Outcome> result = new CompletableFuture<>();
  private boolean ledgerPending = true;
  private boolean askingLenders;
  private boolean askedLedgerAgain;
  private int pendingLoans;
  private int rounds;

  /**
   * Creates a search.
   *
   * @param tokens the tokens that the request reserves
   * @param askLedger requests the missing tokens from the ledger; completes when the ledger has
   *     answered or failed
   * @param isBeyondBudget returns whether no loans can cover the request
   * @param failureOutcome returns the outcome if too few tokens are found
   */
  TokenSearch(
      SiteClient siteClient,
      PeerTransport transport,
      EventLoop loop,
      String workspace,
      PrepaidAccount account,
      TokenCount tokens,
      Supplier<CompletableFuture<Void>> askLedger,
      BooleanSupplier isBeyondBudget,
      Supplier<Outcome> failureOutcome) {
    this.siteClient = siteClient;
    this.transport = transport;
    this.loop = loop;
    this.workspace = workspace;
    this.account = account;
    this.tokens = tokens;
    this.askLedger = askLedger;
    this.isBeyondBudget = isBeyondBudget;
    this.failureOutcome = failureOutcome;
    lenders = new ArrayList<>(siteClient.otherRouters());
    Collections.shuffle(lenders);
  }

  CompletableFuture<Outcome> start() {
    CompletableFuture<Void> answer = askLedger.get();
    answer.whenComplete((v, e) -> onLedgerAnswered());
    if (!answer.isDone()) {
      long delayMillis =
          siteClient.contactAgeMillis() > MAX_CONTACT_AGE_MILLIS ? 0 : LEDGER_HEAD_START_MILLIS;
      loop.schedule(this::askLenders, delayMillis, TimeUnit.MILLISECONDS);
    }
    return result;
  }

  private void onLedgerAnswered() {
    ledgerPending = false;
    if (!tryReserve()) {
      askLenders();
    }
  }

  /** Asks the ledger once more if the loans and what it has left cover the request. */
  private boolean askLedgerAgain() {
    long held = account.free() + account.unopened();
    boolean covered = held + account.ledgerAvailable() >= tokens.value();
    if (ledgerPending || askedLedgerAgain || !covered) {
      return false;
    }
    askedLedgerAgain = true;
    askLedger
        .get()
        .whenComplete(
            (v, e) -> {
              if (!tryReserve()) {
                result.complete(failureOutcome.get());
              }
            });
    return true;
  }

  private boolean tryReserve() {
    if (!result.isDone() && account.reserve(tokens)) {
      result.complete(Outcome.RESERVED);
    }
    return result.isDone();
  }

  private void askLenders() {
    if (result.isDone() || askingLenders) {
      return;
    }
    if (isBeyondBudget.getAsBoolean()) {
      // Loans would be missing elsewhere, and be lost if this router is killed.
      onLendersExhausted();
      return;
    }
    askingLenders = true;
    askNextLenders(FIRST_ROUND_LENDERS);
  }

  private void askNextLenders(int count) {
    if (lenders.isEmpty() || rounds == MAX_ROUNDS) {
      onLendersExhausted();
      return;
    }
    rounds++;
    int asked = Math.min(count, lenders.size());
    List<String> round = List.copyOf(lenders.subList(0, asked));
    lenders.subList(0, asked).clear();
    long loanTokens = (tokens.value() - account.free()) / Math.min(asked, LOAN_DIVISOR) + 1;
    pendingLoans += asked;
    for (String lender : round) {
      requestLoan(lender, loanTokens).whenCompleteAsync((v, e) -> onLoanAnswered(), loop);
    }
  }

  private CompletableFuture<Void> requestLoan(String lender, long loanTokens) {
    TokenLoanRequest request =
        TokenLoanRequest.newBuilder().setWorkspace(workspace).setTokens(loanTokens).build();
    return transport
        .call(lender, Body.newBuilder().setTokenLoanRequest(request).build(), LOAN_TIMEOUT_MILLIS)
        .thenAcceptAsync(
            // A lender that states more than it was asked for must not lift the budget.
            body -> account.addBorrowed(Math.min(loanTokens, body.getTokenLoan().getTokens())),
            loop);
  }

  private void onLoanAnswered() {
    pendingLoans--;
    if (tryReserve() || pendingLoans > 0) {
      return;
    }
    askNextLenders(LATER_ROUND_LENDERS);
  }

  private void onLendersExhausted() {
    if (ledgerPending && siteClient.contactAgeMillis() <= MAX_CONTACT_AGE_MILLIS) {
      // The answer of the ledger decides, because a control daemon answered a short time ago.
      askingLenders = false;
      return;
    }
    if (!askLedgerAgain()) {
      result.complete(failureOutcome.get());
    }
  }
}
