package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.TokenCount;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.WorkspaceSettings;
import org.goldcrestfall.core.prepaid.Demand;
import org.goldcrestfall.core.prepaid.GrantRule;
import org.goldcrestfall.core.prepaid.HoldingPolicy;
import org.goldcrestfall.core.prepaid.IncarnationTimes;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.prepaid.PrepaidAccount;
import org.goldcrestfall.core.prepaid.PrepaidLedger;
import org.goldcrestfall.core.prepaid.ReserveSchedule;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.daemon.PeriodicTasks;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.TokenLoan;
import org.goldcrestfall.wire.generated.TokenLoanRequest;

/**
 * The prepaid tokens that this router holds. The router holds enough tokens to serve its expected
 * demand while it cannot reach the control daemons. It borrows tokens from other routers when it
 * has too few, and returns those that it does not need to the ledger. Requests use only open
 * tokens; the others are the reserve, which is opened in parts through the ledger, or by a schedule
 * if the ledger does not answer. Confined to one event loop.
 */
public final class PrepaidTokens {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval at which a renewal is sent even if it contains no demands. */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 450;

  private static final long RENEW_INTERVAL_MILLIS = 500;
  private static final long RENEW_TIMEOUT_MILLIS = 900;

  /** A lender keeps a quarter of its free tokens for its own callers. */
  private static final int LENDER_KEPT_DIVISOR = 4;

  /** Maximum age of an answer of the ledger that can show that a budget is exhausted. */
  private static final long MAX_LEDGER_ANSWER_AGE_MILLIS = 3_000;

  /** Minimum delay of a retry, and the jitter that spreads retries. */
  private static final long MIN_RETRY_AFTER_MILLIS = 200;

  /** Time in which routers that hold scarce tokens return them. */
  private static final long RETURN_DELAY_MILLIS = 600;

  /** Delay of a retry if it is not known when there will be enough tokens. */
  private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1_900;

  /** The result of a reservation. */
  public enum Outcome {
    /** The tokens are reserved. */
    RESERVED,
    /** The workspace's budget does not cover the request. */
    EXHAUSTED,
    /** This router cannot get enough tokens now, but the budget may cover the request. */
    UNAVAILABLE
  }

  private final String host;
  private final String router;
  private final SiteClient siteClient;
  private final ControlClient controlClient;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final Map<String, PrepaidAccount> accounts = new HashMap<>();
  private Map<String, Long> totals = Map.of();
  private final MillisClock steadyClock = MillisClock.hostMonotonic();
  private final MillisClock wallClock = MillisClock.utc();
  private final long startedAtMillis;
  private final ReserveSchedule reserveSchedule;
  private long renewalSentAtMillis;

  /** The leader's clocks in its last reply, and the time here when that reply was received. */
  private LeaderTime leaderTime = LeaderTime.NONE;

  private long leaderTimeReceivedAtMillis;
  private boolean ledgerTimedOut;
  private long lastRenewalNumber;
  private CompletableFuture<Void> renewal = CompletableFuture.completedFuture(null);

  /** The renewal that follows the one in flight, or null if no request waits for it. */
  private CompletableFuture<Void> nextRenewal;

  private boolean renewalScheduled;

  /**
   * Creates the holder of the tokens of one router incarnation.
   *
   * @param host the host of the router; earlier router processes on it have ended
   * @param router the name of the incarnation, which is never used again
   * @param startedAtMillis the time on the monotonic clock of the host at which this process
   *     started; the earlier it is, the more tokens of an earlier process can be taken back
   */
  public PrepaidTokens(
      String host,
      String router,
      long startedAtMillis,
      SiteClient siteClient,
      PeerTransport transport,
      EventLoop loop,
      MillisClock clock) {
    this.host = host;
    this.router = router;
    this.startedAtMillis = startedAtMillis;
    reserveSchedule = new ReserveSchedule(startedAtMillis);
    this.siteClient = siteClient;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    controlClient = new ControlClient(siteClient::controlAddresses, transport, clock, null);
  }

  /** Registers the handler of loan requests and starts the periodic renewal. */
  public void start() {
    transport.registerHandler(
        KindCase.TOKEN_LOAN_REQUEST,
        (sender, body) ->
            CompletableFuture.supplyAsync(() -> lend(sender, body.getTokenLoanRequest()), loop));
    PeriodicTasks.schedule(loop, RENEW_INTERVAL_MILLIS, this::renew);
  }

  /** Applies the prepaid totals of the workspaces in a configuration. */
  public void configure(GatewayConfiguration configuration) {
    Map<String, Long> newTotals = new HashMap<>();
    for (WorkspaceSettings w : configuration.workspaces()) {
      w.prepaidTokens().ifPresent(t -> newTotals.put(w.name(), TokenCount.clampBalance(t)));
    }
    totals = newTotals;
    scheduleRenewal();
  }

  /** Returns whether the workspace has a limited number of prepaid tokens. */
  public boolean isLimited(String workspace) {
    return totals.containsKey(workspace);
  }

  /**
   * Reserves {@code tokens}, the maximum that a request can consume. Asks the ledger and other
   * routers if too few are free here.
   */
  public CompletableFuture<Outcome> reserve(String workspace, TokenCount tokens) {
    PrepaidAccount account = account(workspace);
    checkLedgerTimeout();
    if (account.reserve(tokens)) {
      account.recordDemand(tokens, clock.nowMillis());
      if (HoldingPolicy.isShortOfOpenTokens(
          account, total(workspace), siteClient.routerCount(), clock.nowMillis())) {
        scheduleRenewal();
      }
      return CompletableFuture.completedFuture(Outcome.RESERVED);
    }
    return search(workspace, account, tokens);
  }

  /**
   * Returns the time after which a request that found too few tokens should be sent again: when
   * enough of the reserve is open or other routers have returned theirs, if these cover the
   * request, otherwise after a longer time.
   */
  public long retryAfterMillis(String workspace, TokenCount tokens) {
    PrepaidAccount account = account(workspace);
    long delayMillis = UNAVAILABLE_RETRY_AFTER_MILLIS;
    if (account.free() + account.unopened() >= tokens.value()) {
      long untilOpenMillis =
          reserveSchedule.millisUntilOpen(
              tokens.value() - account.free(), account.unopened(), steadyClock.nowMillis());
      delayMillis = Math.max(MIN_RETRY_AFTER_MILLIS, untilOpenMillis);
    } else if (isLedgerAnswerFresh(account) && account.ledgerUnused() >= tokens.value()) {
      delayMillis = RETURN_DELAY_MILLIS;
    }
    return delayMillis + ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MILLIS);
  }

  /** Ends a reservation of which {@code used} tokens were consumed. */
  public void settle(String workspace, TokenCount reserved, TokenCount used) {
    PrepaidAccount account = account(workspace);
    account.settle(reserved, used);
    boolean excessive =
        HoldingPolicy.hasTooManyOpenTokens(
            account, total(workspace), siteClient.routerCount(), clock.nowMillis());
    if (excessive && !ledgerTimedOut) {
      renewAfterPendingRenewal();
    }
  }

  private PrepaidAccount account(String workspace) {
    return accounts.computeIfAbsent(workspace, w -> new PrepaidAccount());
  }

  private long total(String workspace) {
    return totals.getOrDefault(workspace, 0L);
  }

  /** Asks the ledger, and also other routers if the ledger is slow or has too few tokens. */
  private CompletableFuture<Outcome> search(
      String workspace, PrepaidAccount account, TokenCount tokens) {
    if (account.hasSearchFailedRecently(tokens, clock.nowMillis())) {
      return CompletableFuture.completedFuture(Outcome.EXHAUSTED);
    }
    account.addWaiting(tokens);
    return new TokenSearch(
            siteClient,
            transport,
            loop,
            workspace,
            account,
            tokens,
            this::renewAfterPendingRenewal,
            () -> isBeyondBudget(workspace, account, tokens),
            () -> failureOutcome(workspace, account, tokens))
        .start()
        .whenComplete((outcome, e) -> onSearchEnded(workspace, account, tokens, outcome));
  }

  private Outcome failureOutcome(String workspace, PrepaidAccount account, TokenCount tokens) {
    boolean exhausted =
        isBeyondBudget(workspace, account, tokens)
            || isLedgerAnswerFresh(account) && account.isExhausted(tokens, clock.nowMillis());
    return exhausted ? Outcome.EXHAUSTED : Outcome.UNAVAILABLE;
  }

  /** Returns whether a request is larger than the total or what is left of it. */
  private boolean isBeyondBudget(String workspace, PrepaidAccount account, TokenCount tokens) {
    return tokens.value() > total(workspace)
        || isLedgerAnswerFresh(account) && account.exceedsUnused(tokens);
  }

  private boolean isLedgerAnswerFresh(PrepaidAccount account) {
    return clock.nowMillis() - account.ledgerAnsweredAtMillis() < MAX_LEDGER_ANSWER_AGE_MILLIS;
  }

  private void onSearchEnded(
      String workspace, PrepaidAccount account, TokenCount tokens, Outcome outcome) {
    account.removeWaiting(tokens);
    if (outcome == Outcome.RESERVED) {
      account.recordDemand(tokens, clock.nowMillis());
      return;
    }
    if (outcome == Outcome.EXHAUSTED) {
      account.recordFailedSearch(tokens, clock.nowMillis());
    }
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "prepaid: workspace %s is %s: %s tokens needed, %s free here, %s in reserve, %s reserved by"
            + " requests, %s spent; %s available in the ledger and %s unused %s ms ago",
        workspace,
        outcome,
        tokens,
        account.free(),
        account.unopened(),
        account.reserved(),
        account.spent(),
        account.ledgerAvailable(),
        account.ledgerUnused(),
        clock.nowMillis() - account.ledgerAnsweredAtMillis());
  }

  private Body lend(Incarnation sender, TokenLoanRequest request) {
    checkLedgerTimeout();
    PrepaidAccount account = accounts.get(request.getWorkspace());
    long lentTokens = 0;
    if (account != null) {
      lentTokens =
          account.lend(
              Math.min(request.getTokens(), account.free() - account.free() / LENDER_KEPT_DIVISOR));
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "prepaid: lent %s tokens of workspace %s to %s",
          lentTokens, request.getWorkspace(), sender.host());
    }
    return Body.newBuilder().setTokenLoan(TokenLoan.newBuilder().setTokens(lentTokens)).build();
  }

  private void scheduleRenewal() {
    if (!renewalScheduled) {
      renewalScheduled = true;
      loop.execute(this::renew);
    }
  }

  private void renew() {
    renewalScheduled = false;
    checkLedgerTimeout();
    if (renewal.isDone()) {
      commitRenewal();
    }
  }

  /**
   * Sends a renewal that counts all requests that wait now. The renewal in flight does not, so
   * another one follows it, which requests that come in the meantime share.
   */
  private CompletableFuture<Void> renewAfterPendingRenewal() {
    if (renewal.isDone()) {
      return commitRenewal();
    }
    if (nextRenewal == null) {
      nextRenewal =
          renewal.thenCompose(
              v -> {
                nextRenewal = null;
                return renewAfterPendingRenewal();
              });
    }
    return nextRenewal;
  }

  /** Opens a part of the reserves if the ledger has not answered for a while. */
  private void checkLedgerTimeout() {
    long now = steadyClock.nowMillis();
    boolean timedOut = reserveSchedule.isOpening(now);
    if (timedOut != ledgerTimedOut) {
      ledgerTimedOut = timedOut;
      logger.atInfo().log(
          timedOut
              ? "prepaid: the ledger cannot be reached; opening the reserves"
              : "prepaid: the ledger can be reached again");
    }
    double fraction = reserveSchedule.advance(now);
    if (fraction > 0) {
      accounts.values().forEach(a -> a.openReserve(fraction));
    }
  }

  /** Returns the demands to send to the ledger. */
  private List<Demand> demands() {
    List<Demand> demands = new ArrayList<>();
    totals.forEach(
        (workspace, total) ->
            HoldingPolicy.nextDemand(
                    workspace,
                    account(workspace),
                    total,
                    siteClient.routerCount(),
                    ledgerTimedOut,
                    clock.nowMillis())
                .ifPresent(demands::add));
    return demands;
  }

  private CompletableFuture<Void> commitRenewal() {
    List<Demand> demands = demands();
    long now = steadyClock.nowMillis();
    if (demands.isEmpty() && now - renewalSentAtMillis < HEARTBEAT_INTERVAL_MILLIS) {
      return renewal;
    }
    renewalSentAtMillis = now;
    renewal =
        controlClient
            .submit(command(demands, now), RENEW_TIMEOUT_MILLIS)
            .handleAsync(
                (reply, failure) -> {
                  if (failure == null) {
                    reserveSchedule.recordRenewal(now);
                    applyReply(reply);
                  } else {
                    logger.atInfo().atMostEvery(2, TimeUnit.SECONDS).log(
                        "prepaid: renewal of the allotments failed: %s", failure.getMessage());
                  }
                  return null;
                },
                loop);
    return renewal;
  }

  private byte[] command(List<Demand> demands, long now) {
    IncarnationTimes times =
        new IncarnationTimes(
            host,
            startedAtMillis,
            now,
            reserveSchedule.opensAtMillis(),
            reserveSchedule.openingMillis(),
            wallClock.nowMillis() - now,
            leaderTime.plus(now - leaderTimeReceivedAtMillis));
    return SiteCodec.encodeCommand(
        new SiteCommand.RenewAllotments(
            router,
            ++lastRenewalNumber,
            times,
            demands,
            LeaderTime.NONE,
            // The leader stamps the rule of the group.
            GrantRule.PARTS_OF_REQUESTS));
  }

  private void applyReply(byte[] reply) {
    try {
      SiteState.Reply decoded = SiteCodec.decodeReply(reply);
      leaderTime = decoded.proposedAt();
      leaderTimeReceivedAtMillis = steadyClock.nowMillis();
      for (PrepaidLedger.Allotment a : decoded.allotments()) {
        PrepaidAccount account = account(a.workspace());
        account.applyAllotment(a, clock.nowMillis());
        if (HoldingPolicy.holdsTooMany(account, clock.nowMillis())) {
          scheduleRenewal();
        }
      }
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().log(
          "prepaid: the reply of the ledger cannot be decoded: %s", e.getMessage());
    }
  }

  /** Returns all tokens that no request uses to the ledger. Call before this router stops. */
  public CompletableFuture<Void> returnAll() {
    List<Demand> demands = new ArrayList<>();
    accounts.forEach(
        (workspace, account) -> {
          account.returnTokens(account.free() + account.unopened());
          demands.add(account.demandFor(workspace, 0, 0, 0));
        });
    return controlClient
        .submit(command(demands, steadyClock.nowMillis()), RENEW_TIMEOUT_MILLIS)
        .thenApply(reply -> null);
  }
}
