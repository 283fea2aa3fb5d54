package org.goldcrestfall.daemon.site;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.goldcrestfall.core.prepaid.PrepaidAccount;
import org.goldcrestfall.daemon.site.PrepaidTokens.Outcome;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.TokenLoanRequest;

/**
 * The search for the prepaid tokens of one request: at the ledger, and at other routers where it
 * does not answer at once or has too little. Confined to one event loop.
 */
final class TokenSearch {

  /** Other routers of the region answer within a few milliseconds. */
  private static final long LOAN_TIMEOUT_MILLIS = 150;

  /** The routers that are asked at first for one request, and then if these had too little. */
  private static final int FIRST_LENDERS = 4;

  private static final int MORE_LENDERS = 12;

  /** In a large fleet some routers are left out. */
  private static final int MAX_ROUNDS = 2;

  /** Each of several lenders is asked for this part of what is short. */
  private static final int LOAN_PARTS = 2;

  /** The ledger answers within a few milliseconds; after this wait other routers are asked too. */
  private static final long LEDGER_FIRST_MILLIS = 40;

  /** A router that has heard no control daemon for so long asks other routers at once. */
  private static final long CONTACT_MILLIS = 1_600;

  private final SiteClient site;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final String workspace;
  private final PrepaidAccount account;
  private final long tokens;
  private final Supplier<CompletableFuture<Void>> ledger;
  private final Supplier<Outcome> refusal;
  private final List<DaemonEntry> lenders;
  private final CompletableFuture<Outcome> result = new CompletableFuture<>();
  private boolean ledgerOpen = true;
  private boolean begun;
  private int open;
  private int rounds;

  /**
   * Creates a search.
   *
   * @param ledger asks the ledger for what is missing; ends when it has answered or failed
   * @param refusal tells why there are too few tokens
   */
  TokenSearch(
      SiteClient site,
      PeerTransport transport,
      EventLoop loop,
      String workspace,
      PrepaidAccount account,
      long tokens,
      Supplier<CompletableFuture<Void>> ledger,
      Supplier<Outcome> refusal) {
    this.site = site;
    this.transport = transport;
    this.loop = loop;
    this.workspace = workspace;
    this.account = account;
    this.tokens = tokens;
    this.ledger = ledger;
    this.refusal = refusal;
    lenders = new ArrayList<>(site.otherRouters());
    Collections.shuffle(lenders);
  }

  CompletableFuture<Outcome> start() {
    CompletableFuture<Void> answer = ledger.get();
    answer.whenComplete((v, e) -> ledgerAnswered());
    if (!answer.isDone()) {
      long wait = site.contactAgeMillis() > CONTACT_MILLIS ? 0 : LEDGER_FIRST_MILLIS;
      loop.schedule(this::askLenders, wait, TimeUnit.MILLISECONDS);
    }
    return result;
  }

  private void ledgerAnswered() {
    ledgerOpen = false;
    if (!tryReserve()) {
      askLenders();
    }
  }

  private boolean tryReserve() {
    if (!result.isDone() && account.reserve(tokens)) {
      result.complete(Outcome.RESERVED);
    }
    return result.isDone();
  }

  private void askLenders() {
    if (result.isDone() || begun) {
      return;
    }
    begun = true;
    ask(FIRST_LENDERS);
  }

  private void ask(int count) {
    if (lenders.isEmpty() || rounds == MAX_ROUNDS) {
      endRounds();
      return;
    }
    rounds++;
    int asked = Math.min(count, lenders.size());
    List<DaemonEntry> now = List.copyOf(lenders.subList(0, asked));
    lenders.subList(0, asked).clear();
    long part = (tokens - account.free()) / Math.min(asked, LOAN_PARTS) + 1;
    open += asked;
    for (DaemonEntry lender : now) {
      request(lender, part).whenCompleteAsync((v, e) -> answered(), loop);
    }
  }

  private CompletableFuture<Void> request(DaemonEntry lender, long part) {
    TokenLoanRequest request =
        TokenLoanRequest.newBuilder().setWorkspace(workspace).setTokens(part).build();
    return transport
        .call(
            lender.getAddress(),
            Body.newBuilder().setTokenLoanRequest(request).build(),
            LOAN_TIMEOUT_MILLIS)
        .thenAcceptAsync(body -> account.borrowed(body.getTokenLoan().getTokens()), loop);
  }

  private void answered() {
    open--;
    if (tryReserve() || open > 0) {
      return;
    }
    ask(MORE_LENDERS);
  }

  private void endRounds() {
    if (ledgerOpen && site.contactAgeMillis() <= CONTACT_MILLIS) {
      // The ledger's answer decides.
      begun = false;
      return;
    }
    result.complete(refusal.get());
  }
}
