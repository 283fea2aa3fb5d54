package org.goldcrestfall.daemon.budget;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Predicate;
import org.goldcrestfall.core.budget.AllotmentLedger;
import org.goldcrestfall.core.budget.GrantPolicy;
import org.goldcrestfall.core.budget.Reservation;
import org.goldcrestfall.core.budget.SettlementQueue;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Tradeoff;
import org.goldcrestfall.daemon.budget.WaitingRequests.Waiter;
import org.goldcrestfall.daemon.control.ControlService;

/**
 * Manages the allotments of this router incarnation: reserves tokens for requests, requests grants,
 * settles billing records in batches and returns surplus tokens. One lock guards the ledgers, whose
 * operations are short; futures are completed outside the lock.
 */
public final class BudgetService implements Budgets {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time after which a request that waits for tokens is refused. */
  public static final long RESERVE_WAIT_MILLIS = 2_500;

  /** Maximum number of requests that wait for tokens of a workspace; more are refused at once. */
  static final int MAX_WAITERS = 256;

  /** Time after which an unanswered grant is requested again. */
  private static final long GRANT_RESEND_INTERVAL_MILLIS = 500;

  private final AllotmentLedger ledger;
  private final GrantPolicy policy = new GrantPolicy();
  private final SettlementQueue settlements;
  private final ControlService control;
  private final Function<String, Tradeoff> tradeoffs;
  private final MillisClock clock;
  private final WaitingRequests waiting = new WaitingRequests(MAX_WAITERS);
  private final Map<String, Long> grantRequestedAtMillis = new HashMap<>();
  private final Map<BillingRecord, CompletableFuture<Void>> settlementFutures =
      new IdentityHashMap<>();
  private final Map<String, Long> grantAnsweredAtMillis = new HashMap<>();
  private final Set<String> workspacesWithPendingReturn = new HashSet<>();
  private final AtomicLong reservationIds = new AtomicLong();
  private volatile Runnable watermarkPendingAction = () -> {};
  private boolean batchPending;
  private boolean draining;

  /**
   * Creates the service of one router incarnation.
   *
   * @param tradeoffs returns the trade-off of a workspace
   */
  public BudgetService(
      AllotmentLedger ledger,
      ControlService control,
      Function<String, Tradeoff> tradeoffs,
      MillisClock clock) {
    this.ledger = ledger;
    this.control = control;
    this.tradeoffs = tradeoffs;
    this.clock = clock;
    settlements = new SettlementQueue(ledger);
  }

  /**
   * Sets the action that raises the watermark on disk if the use of tokens has come close to it.
   * The action is run often and must not block.
   */
  public void onWatermarkPending(Runnable action) {
    watermarkPendingAction = action;
  }

  /** Triggers a write of the watermark if it has to be raised. Does not wait for the write. */
  public void raiseWatermark() {
    watermarkPendingAction.run();
  }

  /** Returns the router incarnation. */
  public Incarnation self() {
    return ledger.self();
  }

  @Override
  public CompletionStage<ReservedTokens> reserve(String workspace, long tokens) {
    ReservedTokens r = new ReservedTokens(workspace, reservationIds.incrementAndGet(), tokens);
    CompletableFuture<ReservedTokens> future = new CompletableFuture<>();
    synchronized (this) {
      long now = clock.nowMillis();
      policy.recordDemand(workspace, tokens, now);
      if (ledger.reserve(workspace, tokens) == Reservation.RESERVED) {
        future.complete(r);
      } else if (!waiting.add(new Waiter(r, future, now))) {
        return CompletableFuture.failedFuture(BudgetRefusals.tooManyWaiting(workspace));
      }
    }
    // Needed even if the reservation succeeded, because the watermark must be raised before the use
    // of tokens reaches it.
    watermarkPendingAction.run();
    requestGrantIfNeeded(workspace);
    return future;
  }

  @Override
  public CompletableFuture<Void> settle(ReservedTokens r, BillingRecord record) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    synchronized (this) {
      policy.recordUse(r.workspace(), record.tokens(), clock.nowMillis());
      ledger.recordUse(r.workspace(), r.tokens(), record.tokens());
      settlements.add(record, clock.nowMillis());
      settlementFutures.put(record, done);
    }
    submitNextBatch();
    return done;
  }

  @Override
  public void release(ReservedTokens r) {
    synchronized (this) {
      ledger.release(r.workspace(), r.tokens());
    }
    serveWaiters(r.workspace());
  }

  /** Runs an operation on the ledger, such as a transfer, while holding the lock. */
  public synchronized <T> T withLedger(Function<AllotmentLedger, T> operation) {
    return operation.apply(ledger);
  }

  /** Returns how many tokens can be transferred to a router that asks for {@code tokens}. */
  public synchronized long transferableTokens(String workspace, long tokens) {
    return policy.transferableTokens(
        workspace, ledger.available(workspace), tokens, clock.nowMillis());
  }

  /**
   * Sets the number of routers for which this router holds the reserve for partitions; see {@link
   * GrantPolicy#setReserveShare}.
   */
  public synchronized void setReserveShare(double routers) {
    policy.setReserveShare(routers);
    ledger.setSharePerMille(Math.max(1_000, Math.round(1_000 * routers)));
  }

  /**
   * Returns the number of tokens to request from peers for each workspace whose waiting requests
   * lack tokens. The number covers the missing tokens and some more for the next requests.
   */
  public synchronized Map<String, Long> peerRequestTokens() {
    Map<String, Long> requestTokens = new HashMap<>();
    for (String w : waiting.workspaces()) {
      long missing = missingTokens(w);
      if (missing > 0) {
        requestTokens.put(w, policy.peerRequestTokens(w, missing, clock.nowMillis()));
      }
    }
    return requestTokens;
  }

  /** Returns the number of billing records that the control group has not acknowledged. */
  public synchronized int unsettledRecords() {
    return settlements.size();
  }

  /**
   * Serves waiting requests, refuses those that have waited too long, and sends or resends grant
   * requests and settlements. Call every 100 ms.
   */
  public void tick() {
    Set<String> workspaces;
    synchronized (this) {
      workspaces = new HashSet<>(ledger.workspaces());
      workspaces.addAll(waiting.workspaces());
    }
    for (String w : workspaces) {
      serveWaiters(w);
      expireWaiters(w);
      requestGrantIfNeeded(w);
    }
    submitNextBatch();
    watermarkPendingAction.run();
  }

  /**
   * Returns surplus tokens to the control group.
   *
   * @param recalled the workspaces that lack tokens; of these, only the tokens for the next
   *     reservations are kept
   */
  public void returnSurplus(Set<String> recalled) {
    synchronized (this) {
      long now = clock.nowMillis();
      for (String w : ledger.workspaces()) {
        long surplus =
            policy.surplus(w, tradeoffs.apply(w), ledger.available(w), recalled.contains(w), now);
        if (surplus > 0 && !ledger.hasPendingGrant(w)) {
          ledger.returnTokens(w, surplus);
        }
      }
    }
    sendReturns();
  }

  /**
   * Settles all use and returns all available tokens. Call while no request is open, and repeat
   * until it returns true.
   */
  public boolean drain() {
    synchronized (this) {
      draining = true;
      for (String w : ledger.workspaces()) {
        ledger.returnTokens(w, Long.MAX_VALUE);
      }
    }
    submitNextBatch();
    sendReturns();
    synchronized (this) {
      // The tokens of a pending grant would arrive after all other tokens were returned.
      boolean granting = ledger.workspaces().stream().anyMatch(ledger::hasPendingGrant);
      return !granting && settlements.size() == 0 && ledger.unacknowledgedReturns().isEmpty();
    }
  }

  /** Returns a description of what {@link #drain} still waits for, for the log. */
  public synchronized String describePendingDrain() {
    List<String> granting = ledger.workspaces().stream().filter(ledger::hasPendingGrant).toList();
    return "%s records unsettled, unacknowledged returns %s, grants pending for %s"
        .formatted(settlements.size(), ledger.unacknowledgedReturns(), granting);
  }

  /** Serves waiting requests with tokens that have become available. */
  public void serveWaiters(String workspace) {
    List<Waiter> served =
        takeWaiters(
            workspace,
            w -> ledger.reserve(workspace, w.reservation().tokens()) == Reservation.RESERVED);
    served.forEach(w -> w.future().complete(w.reservation()));
  }

  private void expireWaiters(String workspace) {
    long cutoffMillis = clock.nowMillis() - RESERVE_WAIT_MILLIS;
    for (Waiter w : takeWaiters(workspace, x -> x.sinceMillis() <= cutoffMillis)) {
      w.future().completeExceptionally(refusal(workspace, w));
    }
  }

  private synchronized List<Waiter> takeWaiters(String workspace, Predicate<Waiter> condition) {
    return waiting.take(workspace, condition);
  }

  private long missingTokens(String workspace) {
    return Math.max(0, waiting.tokens(workspace) - ledger.available(workspace));
  }

  private void requestGrantIfNeeded(String workspace) {
    ControlCommand.GrantAllotment grant;
    synchronized (this) {
      long now = clock.nowMillis();
      Long last = grantRequestedAtMillis.get(workspace);
      if (last != null && now - last < GRANT_RESEND_INTERVAL_MILLIS) {
        return;
      }
      long available = ledger.available(workspace);
      if (ledger.hasPendingGrant(workspace)) {
        grant = ledger.requestGrant(workspace, 0, 0);
      } else if (draining) {
        return;
      } else {
        Optional<GrantPolicy.GrantRequest> request =
            policy.grantRequest(
                workspace, tradeoffs.apply(workspace), available, missingTokens(workspace), now);
        if (request.isEmpty()) {
          return;
        }
        grant = ledger.requestGrant(workspace, request.get().tokens(), request.get().needed());
      }
      grantRequestedAtMillis.put(workspace, now);
    }
    control.submit(grant).whenComplete((r, e) -> onGrantReply(grant, r, e));
  }

  private void onGrantReply(ControlCommand.GrantAllotment grant, ControlReply r, Throwable e) {
    String workspace = grant.workspace();
    if (e != null) {
      logger.atFine().log(
          "budget: request of grant %s for workspace %s failed: %s", grant.number(), workspace, e);
      return;
    }
    boolean granted;
    synchronized (this) {
      grantAnsweredAtMillis.put(workspace, clock.nowMillis());
      if (r instanceof ControlReply.Granted g) {
        ledger.grantReceived(workspace, g.number(), g.tokens());
        granted = g.tokens() > 0;
      } else {
        ledger.grantRefused(workspace, grant.number());
        granted = false;
      }
      if (granted) {
        grantRequestedAtMillis.remove(workspace);
      }
    }
    serveWaiters(workspace);
    if (granted) {
      requestGrantIfNeeded(workspace);
    }
  }

  private void submitNextBatch() {
    Optional<ControlCommand.SettleRequests> batch;
    synchronized (this) {
      if (batchPending) {
        return;
      }
      batch = settlements.nextBatch(clock.nowMillis(), true);
      batchPending = batch.isPresent();
    }
    if (batch.isPresent()) {
      control.submit(batch.get()).whenComplete((r, e) -> onSettleReply(batch.get(), r, e));
    }
  }

  private void onSettleReply(ControlCommand.SettleRequests batch, ControlReply r, Throwable e) {
    List<SettlementQueue.Outcome> outcomes = List.of();
    synchronized (this) {
      batchPending = false;
      if (e == null && r instanceof ControlReply.Settled s) {
        outcomes = settlements.acknowledge(s);
      } else if (e == null) {
        outcomes = settlements.refuse(batch.batch());
      }
    }
    for (SettlementQueue.Outcome o : outcomes) {
      CompletableFuture<Void> done;
      synchronized (this) {
        done = settlementFutures.remove(o.record());
      }
      done.complete(null);
      if (o.result() == SettlementQueue.Result.REJECTED) {
        logger.atSevere().log(
            "budget: control group rejected the billing record of request %s in workspace %s: %s",
            o.record().requestId(), o.record().workspace(), r);
      }
    }
    if (e == null) {
      submitNextBatch();
    }
  }

  private void sendReturns() {
    List<ControlCommand.ReturnAllotment> returns = new ArrayList<>();
    synchronized (this) {
      for (ControlCommand.ReturnAllotment r : ledger.unacknowledgedReturns()) {
        if (workspacesWithPendingReturn.add(r.workspace())) {
          returns.add(r);
        }
      }
    }
    for (ControlCommand.ReturnAllotment r : returns) {
      control
          .submit(r)
          .whenComplete(
              (reply, e) -> {
                synchronized (this) {
                  workspacesWithPendingReturn.remove(r.workspace());
                  if (e == null && reply instanceof ControlReply.Done) {
                    ledger.returnAcknowledged(r.workspace(), r.returnedTotal());
                  } else {
                    logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                        "budget: return %s was not acknowledged: %s", r, e == null ? reply : e);
                  }
                }
              });
    }
  }

  private synchronized RequestFailure refusal(String workspace, Waiter w) {
    long available = ledger.available(workspace);
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "budget: refused a request of %s tokens of workspace %s: %s available, grant pending: %s",
        w.reservation().tokens(), workspace, available, ledger.hasPendingGrant(workspace));
    if (available >= w.reservation().tokens()) {
      return BudgetRefusals.slowDisk();
    }
    return grantAnsweredAtMillis.getOrDefault(workspace, Long.MIN_VALUE) >= w.sinceMillis()
        ? BudgetRefusals.exhausted(workspace)
        : BudgetRefusals.unanswered(workspace);
  }
}
