package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.WorkspaceSettings;
import org.goldcrestfall.core.prepaid.PrepaidAccount;
import org.goldcrestfall.core.prepaid.PrepaidLedger;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.TokenLoan;
import org.goldcrestfall.wire.generated.TokenLoanRequest;

/**
 * The prepaid tokens that this router holds. It keeps enough for the demand of the time that a cut
 * from the control daemons may last, borrows from other routers where it is short, and gives back
 * what it does not need. Confined to one event loop.
 */
public final class PrepaidTokens {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Demand for which tokens are held; a cut from the control daemons lasts about so long. */
  private static final long HORIZON_MILLIS = 10_000;

  /** At first each router holds its equal part of this part of a workspace's total. */
  private static final double INITIAL_PART = 0.15;

  /** More than so many times the target is given back. */
  private static final int RETURN_FACTOR = 3;

  private static final long RENEW_MILLIS = 500;
  private static final long RENEW_TIMEOUT_MILLIS = 900;

  /** Other routers of the region answer within a few milliseconds. */
  private static final long LOAN_TIMEOUT_MILLIS = 150;

  /** The most routers that are asked for one request. */
  private static final int MAX_LENDERS = 6;

  /** A lender keeps this part of its tokens for its own callers. */
  private static final int LENDER_KEEPS = 4;

  /** An answer of the ledger is used so long to tell an empty budget from an empty allotment. */
  private static final long LEDGER_FRESH_MILLIS = 3_000;

  /** How the wait for tokens ends. */
  public enum Outcome {
    RESERVED,
    /** The workspace's budget does not cover the request. */
    EXHAUSTED,
    /** This router cannot get tokens at present. */
    UNAVAILABLE
  }

  private final String router;
  private final SiteClient site;
  private final ControlClient client;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final Map<String, PrepaidAccount> accounts = new HashMap<>();
  private Map<String, Long> totals = Map.of();
  private long number;
  private CompletableFuture<Void> renewal = CompletableFuture.completedFuture(null);
  private boolean renewSoon;

  /**
   * Creates the holder of an incarnation.
   *
   * @param router names this run of the router; no other run ever has the same name
   */
  public PrepaidTokens(
      String router, SiteClient site, PeerTransport transport, EventLoop loop, MillisClock clock) {
    this.router = router;
    this.site = site;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    client = new ControlClient(site::controlAddresses, transport, clock, null);
  }

  /** Registers the handler of loans and begins to renew. */
  public void start() {
    transport.handle(
        KindCase.TOKEN_LOAN_REQUEST,
        (sender, body) ->
            CompletableFuture.supplyAsync(() -> lend(sender, body.getTokenLoanRequest()), loop));
    loop.scheduleWithFixedDelay(this::renew, RENEW_MILLIS, RENEW_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Takes the totals of a configuration. */
  public void configure(GatewayConfiguration configuration) {
    Map<String, Long> next = new HashMap<>();
    for (WorkspaceSettings w : configuration.workspaces()) {
      w.prepaidTokens().ifPresent(t -> next.put(w.name(), t));
    }
    totals = next;
    renewSoon();
  }

  /** Returns whether a workspace's tokens are limited. */
  public boolean isLimited(String workspace) {
    return totals.containsKey(workspace);
  }

  /** Reserves the most tokens that a request can consume. */
  public CompletableFuture<Outcome> reserve(String workspace, long tokens) {
    PrepaidAccount account = account(workspace);
    account.demand(tokens, clock.nowMillis());
    if (account.reserve(tokens)) {
      if (account.free() < target(workspace, account) / 2) {
        renewSoon();
      }
      return CompletableFuture.completedFuture(Outcome.RESERVED);
    }
    return borrow(workspace, account, tokens);
  }

  /** Ends a reservation of which {@code used} tokens were consumed. */
  public void settle(String workspace, long reserved, long used) {
    account(workspace).settle(reserved, used);
  }

  private PrepaidAccount account(String workspace) {
    return accounts.computeIfAbsent(workspace, w -> new PrepaidAccount());
  }

  private long target(String workspace, PrepaidAccount account) {
    long total = totals.getOrDefault(workspace, 0L);
    long initial = (long) (total * INITIAL_PART / site.routerCount());
    return Math.max(initial, account.expectedDemand(HORIZON_MILLIS, clock.nowMillis()));
  }

  // ---------------------------------------------------------------- loans

  /** Asks the ledger and other routers at the same time. */
  private CompletableFuture<Outcome> borrow(String workspace, PrepaidAccount account, long tokens) {
    CompletableFuture<Outcome> result = new CompletableFuture<>();
    List<DaemonEntry> lenders = new ArrayList<>(site.otherRouters());
    Collections.shuffle(lenders);
    if (lenders.size() > MAX_LENDERS) {
      lenders = lenders.subList(0, MAX_LENDERS);
    }
    int[] open = {lenders.size() + 1};
    Runnable step =
        () -> {
          open[0]--;
          if (result.isDone()) {
            return;
          }
          if (account.reserve(tokens)) {
            result.complete(Outcome.RESERVED);
          } else if (open[0] == 0) {
            result.complete(refusal(workspace, account, tokens));
          }
        };
    for (DaemonEntry lender : lenders) {
      ask(lender, workspace, tokens - account.free(), account).whenComplete((v, e) -> step.run());
    }
    commitRenewal().whenComplete((v, e) -> step.run());
    return result;
  }

  private Outcome refusal(String workspace, PrepaidAccount account, long tokens) {
    boolean fresh = clock.nowMillis() - account.ledgerAt() < LEDGER_FRESH_MILLIS;
    boolean exhausted =
        fresh && account.ledgerAvailable() >= 0 && account.ledgerAvailable() < tokens;
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "prepaid: workspace %s: %s tokens wanted, %s free here, %s in the ledger %s ms ago",
        workspace,
        tokens,
        account.free(),
        account.ledgerAvailable(),
        clock.nowMillis() - account.ledgerAt());
    return exhausted ? Outcome.EXHAUSTED : Outcome.UNAVAILABLE;
  }

  private CompletableFuture<Void> ask(
      DaemonEntry lender, String workspace, long tokens, PrepaidAccount account) {
    TokenLoanRequest request =
        TokenLoanRequest.newBuilder().setWorkspace(workspace).setTokens(tokens).build();
    return transport
        .call(
            lender.getAddress(),
            Body.newBuilder().setTokenLoanRequest(request).build(),
            LOAN_TIMEOUT_MILLIS)
        .thenAcceptAsync(body -> account.borrowed(body.getTokenLoan().getTokens()), loop);
  }

  private Body lend(Incarnation sender, TokenLoanRequest request) {
    PrepaidAccount account = accounts.get(request.getWorkspace());
    long given = 0;
    if (account != null) {
      given =
          account.lend(
              Math.min(request.getTokens(), account.free() - account.free() / LENDER_KEEPS));
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "prepaid: lent %s tokens of workspace %s to %s",
          given, request.getWorkspace(), sender.host());
    }
    return Body.newBuilder().setTokenLoan(TokenLoan.newBuilder().setTokens(given)).build();
  }

  // ---------------------------------------------------------------- ledger

  private void renewSoon() {
    if (!renewSoon) {
      renewSoon = true;
      loop.execute(this::renew);
    }
  }

  private void renew() {
    renewSoon = false;
    if (renewal.isDone()) {
      commitRenewal();
    }
  }

  private List<PrepaidLedger.Demand> demands() {
    List<PrepaidLedger.Demand> out = new ArrayList<>();
    for (String workspace : totals.keySet()) {
      PrepaidAccount account = account(workspace);
      long target = target(workspace, account);
      long excess = account.free() - RETURN_FACTOR * target;
      if (excess > 0) {
        account.giveBack(excess);
        out.add(new PrepaidLedger.Demand(workspace, account.returnedTotal(), 0));
      } else if (account.free() < target * 3 / 4) {
        out.add(
            new PrepaidLedger.Demand(workspace, account.returnedTotal(), target - account.free()));
      }
    }
    return out;
  }

  private CompletableFuture<Void> commitRenewal() {
    if (!renewal.isDone()) {
      return renewal;
    }
    List<PrepaidLedger.Demand> demands = demands();
    if (demands.isEmpty()) {
      return renewal;
    }
    byte[] command =
        SiteCodec.encodeCommand(new SiteCommand.RenewAllotments(router, ++number, demands));
    renewal =
        client
            .submit(command, RENEW_TIMEOUT_MILLIS)
            .handleAsync(
                (reply, failure) -> {
                  if (failure == null) {
                    take(reply);
                  } else {
                    logger.atInfo().atMostEvery(2, TimeUnit.SECONDS).log(
                        "prepaid: the ledger did not answer: %s", failure.getMessage());
                  }
                  return null;
                },
                loop);
    return renewal;
  }

  private void take(byte[] reply) {
    try {
      SiteState.Reply decoded = SiteCodec.decodeReply(reply);
      for (PrepaidLedger.Allotment a : decoded.allotments()) {
        account(a.workspace()).granted(a.grantedTotal(), a.available(), clock.nowMillis());
      }
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().log("prepaid: the ledger's answer cannot be read: %s", e.getMessage());
    }
  }

  /** Gives all free tokens back, before this router stops. */
  public CompletableFuture<Void> returnAll() {
    List<PrepaidLedger.Demand> demands = new ArrayList<>();
    accounts.forEach(
        (workspace, account) -> {
          account.giveBack(account.free());
          demands.add(new PrepaidLedger.Demand(workspace, account.returnedTotal(), 0));
        });
    byte[] command =
        SiteCodec.encodeCommand(new SiteCommand.RenewAllotments(router, ++number, demands));
    return client.submit(command, RENEW_TIMEOUT_MILLIS).thenApply(reply -> null);
  }
}
