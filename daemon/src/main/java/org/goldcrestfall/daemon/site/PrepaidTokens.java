package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
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
import org.goldcrestfall.core.prepaid.RouterLife;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.TokenLoan;
import org.goldcrestfall.wire.generated.TokenLoanRequest;

/**
 * The prepaid tokens that this router holds. It keeps enough for the demand of the time that a cut
 * from the control daemons may last, borrows from other routers where it is short, and gives back
 * what it does not need. Confined to one event loop.
 */
public final class PrepaidTokens {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Demand for which tokens are held: a cut from the control daemons lasts about so long. What a
   * router holds is lost with it, so it is not more.
   */
  private static final long HORIZON_MILLIS = 10_000;

  /** Demand for which tokens are open; it covers the time until the reserve opens, with loans. */
  private static final long OPEN_MILLIS = 4_500;

  /**
   * A router that has had no answer of the ledger for so long opens its reserve. A killed process
   * is back within this time, so that its start shows that the reserve was not touched.
   */
  private static final long CUT_MILLIS = 3_500;

  /** The ledger hears of a router at least at this interval. */
  private static final long HEARTBEAT_MILLIS = 700;

  /** A router without demand holds its equal part of this part of a workspace's total. */
  private static final double IDLE_PART = 0.02;

  /** More than this part of the target is given back, less than that is asked for. */
  private static final double RETURN_ABOVE = 1.3;

  private static final double RENEW_BELOW = 0.75;

  private static final long RENEW_MILLIS = 500;
  private static final long RENEW_TIMEOUT_MILLIS = 900;

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

  private final String host;
  private final String router;
  private final SiteClient site;
  private final ControlClient client;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final Map<String, PrepaidAccount> accounts = new HashMap<>();
  private Map<String, Long> totals = Map.of();
  private final MillisClock steady = MillisClock.hostSteady();
  private final MillisClock wall = MillisClock.utc();
  private final long startedAt = steady.nowMillis();
  private long opensAt = startedAt + CUT_MILLIS;
  private long sentAt;
  private boolean cut;
  private long number;
  private CompletableFuture<Void> renewal = CompletableFuture.completedFuture(null);
  private boolean renewSoon;

  /**
   * Creates the holder of an incarnation.
   *
   * @param host the host, whose earlier runs have ended
   * @param router names this run of the router; no other run ever has the same name
   */
  public PrepaidTokens(
      String host,
      String router,
      SiteClient site,
      PeerTransport transport,
      EventLoop loop,
      MillisClock clock) {
    this.host = host;
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
    checkCut();
    if (account.reserve(tokens)) {
      long openTarget = target(workspace, account) * OPEN_MILLIS / HORIZON_MILLIS;
      if (account.free() < openTarget / 2) {
        renewSoon();
      }
      return CompletableFuture.completedFuture(Outcome.RESERVED);
    }
    return search(workspace, account, tokens);
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
    long idle = (long) (total * IDLE_PART / site.routerCount());
    return Math.max(idle, account.expectedDemand(HORIZON_MILLIS, clock.nowMillis()));
  }

  // ---------------------------------------------------------------- loans

  /** Asks the ledger, and other routers where it does not answer at once or has too little. */
  private CompletableFuture<Outcome> search(String workspace, PrepaidAccount account, long tokens) {
    if (account.isSearchVain(tokens, clock.nowMillis())) {
      return CompletableFuture.completedFuture(Outcome.EXHAUSTED);
    }
    return new TokenSearch(
            site,
            transport,
            loop,
            workspace,
            account,
            tokens,
            () -> commitRenewal(workspace, tokens - account.free()),
            () -> refusal(account, tokens))
        .start()
        .whenComplete((outcome, e) -> searched(workspace, account, tokens, outcome));
  }

  private Outcome refusal(PrepaidAccount account, long tokens) {
    boolean fresh = clock.nowMillis() - account.ledgerAt() < LEDGER_FRESH_MILLIS;
    boolean exhausted =
        fresh && account.ledgerAvailable() >= 0 && account.ledgerAvailable() < tokens;
    return exhausted ? Outcome.EXHAUSTED : Outcome.UNAVAILABLE;
  }

  private void searched(String workspace, PrepaidAccount account, long tokens, Outcome outcome) {
    if (outcome == Outcome.RESERVED) {
      return;
    }
    if (outcome == Outcome.EXHAUSTED) {
      account.noteVainSearch(tokens, clock.nowMillis());
    }
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "prepaid: workspace %s: %s tokens wanted, %s free here, %s in the ledger %s ms ago",
        workspace,
        tokens,
        account.free(),
        account.ledgerAvailable(),
        clock.nowMillis() - account.ledgerAt());
  }

  private Body lend(Incarnation sender, TokenLoanRequest request) {
    checkCut();
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
    checkCut();
    if (renewal.isDone()) {
      commitRenewal("", 0);
    }
  }

  /** Opens the reserves if the ledger has been out of reach for long. */
  private void checkCut() {
    boolean now = steady.nowMillis() >= opensAt;
    if (now != cut) {
      cut = now;
      logger.atInfo().log(
          now
              ? "prepaid: the ledger is out of reach; reserves open"
              : "prepaid: the ledger answers");
    }
    if (cut) {
      accounts.values().forEach(PrepaidAccount::openReserve);
    }
  }

  /** Returns what to tell the ledger; a waiting request of a workspace needs {@code needed}. */
  private List<PrepaidLedger.Demand> demands(String waiting, long needed) {
    List<PrepaidLedger.Demand> out = new ArrayList<>();
    for (String workspace : totals.keySet()) {
      PrepaidAccount account = account(workspace);
      long target = target(workspace, account);
      long openTarget = Math.max(1, target * OPEN_MILLIS / HORIZON_MILLIS);
      if (!cut && account.free() > RETURN_ABOVE * openTarget) {
        // After a cut all is open; what is not needed open comes back as reserve.
        account.giveBackOpen(account.free() - openTarget);
      }
      long held = account.free() + account.unopened();
      if (workspace.equals(waiting)) {
        long missing = Math.max(0, needed - account.unopened());
        long wanted = Math.max(missing, target - held);
        long toOpen = Math.max(needed, openTarget - account.free());
        out.add(account.demandFor(workspace, wanted, missing, toOpen));
        continue;
      }
      if (held > RETURN_ABOVE * target) {
        account.giveBack(held - target);
        out.add(account.demandFor(workspace, 0, 0, 0));
        continue;
      }
      long wanted = held < RENEW_BELOW * target ? target - held : 0;
      long toOpen = account.free() < RENEW_BELOW * openTarget ? openTarget - account.free() : 0;
      if (wanted > 0 || toOpen > 0 && account.unopened() > 0) {
        out.add(account.demandFor(workspace, wanted, 0, toOpen));
      }
    }
    return out;
  }

  private CompletableFuture<Void> commitRenewal(String waiting, long needed) {
    if (!renewal.isDone()) {
      // The one under way does not ask for this request, so another one follows it.
      return waiting.isEmpty() ? renewal : renewal.thenCompose(v -> commitRenewal(waiting, needed));
    }
    List<PrepaidLedger.Demand> demands = demands(waiting, needed);
    long now = steady.nowMillis();
    if (demands.isEmpty() && now - sentAt < HEARTBEAT_MILLIS) {
      return renewal;
    }
    sentAt = now;
    renewal =
        client
            .submit(command(demands, now), RENEW_TIMEOUT_MILLIS)
            .handleAsync(
                (reply, failure) -> {
                  if (failure == null) {
                    opensAt = Math.max(opensAt, now + CUT_MILLIS);
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

  private byte[] command(List<PrepaidLedger.Demand> demands, long now) {
    RouterLife life = new RouterLife(host, startedAt, now, opensAt, wall.nowMillis() - now);
    return SiteCodec.encodeCommand(
        new SiteCommand.RenewAllotments(router, ++number, life, demands));
  }

  private void take(byte[] reply) {
    try {
      SiteState.Reply decoded = SiteCodec.decodeReply(reply);
      for (PrepaidLedger.Allotment a : decoded.allotments()) {
        account(a.workspace()).granted(a, clock.nowMillis());
      }
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().log("prepaid: the ledger's answer cannot be read: %s", e.getMessage());
    }
  }

  /** Gives all tokens back that no request uses, before this router stops. */
  public CompletableFuture<Void> returnAll() {
    List<PrepaidLedger.Demand> demands = new ArrayList<>();
    accounts.forEach(
        (workspace, account) -> {
          account.giveBack(account.free() + account.unopened());
          demands.add(account.demandFor(workspace, 0, 0, 0));
        });
    return client
        .submit(command(demands, steady.nowMillis()), RENEW_TIMEOUT_MILLIS)
        .thenApply(reply -> null);
  }
}
