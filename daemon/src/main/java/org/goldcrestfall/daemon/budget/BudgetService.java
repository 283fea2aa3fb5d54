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
 * The allotments of this router incarnation at work: reserves for requests, asks for grants,
 * settles in batches and hands tokens back. One lock guards the ledgers, whose operations are
 * short; futures are completed outside it.
 */
public final class BudgetService implements Budgets {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest time that a request waits for tokens before it is refused. */
  public static final long RESERVE_WAIT_MILLIS = 2_500;

  /** Requests that may wait for tokens of one workspace; more are refused at once. */
  static final int MAX_WAITERS = 256;

  /** Time after which an unanswered grant is asked for again. */
  private static final long GRANT_RESEND_MILLIS = 500;

  private final AllotmentLedger ledger;
  private final GrantPolicy policy = new GrantPolicy();
  private final SettlementQueue settlements;
  private final ControlService control;
  private final Function<String, Tradeoff> tradeoffs;
  private final MillisClock clock;
  private final WaitingRequests waiting = new WaitingRequests(MAX_WAITERS);
  private final Map<String, Long> asked = new HashMap<>();
  private final Map<BillingRecord, CompletableFuture<Void>> unsettled = new IdentityHashMap<>();
  private final Map<String, Long> answeredMillis = new HashMap<>();
  private final Set<String> returning = new HashSet<>();
  private final AtomicLong ids = new AtomicLong();
  private volatile Runnable watermarkPending = () -> {};
  private boolean settling;
  private boolean draining;

  /**
   * Creates the service of one incarnation.
   *
   * @param tradeoffs the trade-off of a workspace
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

  /** Sets what runs when use has come close to the durable watermark. It must not block. */
  public void onWatermarkPending(Runnable action) {
    watermarkPending = action;
  }

  /** Writes the watermark soon if it has to be raised. */
  public void raiseWatermark() {
    watermarkPending.run();
  }

  /** Returns the router incarnation. */
  public Incarnation self() {
    return ledger.self();
  }

  @Override
  public CompletionStage<ReservedTokens> reserve(String workspace, long tokens) {
    ReservedTokens r = new ReservedTokens(workspace, ids.incrementAndGet(), tokens);
    CompletableFuture<ReservedTokens> future = new CompletableFuture<>();
    synchronized (this) {
      long now = clock.nowMillis();
      policy.demand(workspace, tokens, now);
      if (ledger.reserve(workspace, tokens) == Reservation.RESERVED) {
        future.complete(r);
      } else if (!waiting.add(new Waiter(r, future, now))) {
        return CompletableFuture.failedFuture(BudgetRefusals.tooManyWaiting(workspace));
      }
    }
    // Also after a success, because the watermark is raised before the use comes up to it.
    watermarkPending.run();
    askForGrant(workspace);
    return future;
  }

  @Override
  public CompletableFuture<Void> settle(ReservedTokens r, BillingRecord record) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    synchronized (this) {
      policy.used(r.workspace(), record.tokens(), clock.nowMillis());
      ledger.settle(r.workspace(), r.tokens(), record.tokens());
      settlements.add(record, clock.nowMillis());
      unsettled.put(record, done);
    }
    settleNext();
    return done;
  }

  @Override
  public void release(ReservedTokens r) {
    synchronized (this) {
      ledger.release(r.workspace(), r.tokens());
    }
    serveWaiters(r.workspace());
  }

  /** Runs an operation on the ledger under the lock, such as a transfer. */
  public synchronized <T> T withLedger(Function<AllotmentLedger, T> operation) {
    return operation.apply(ledger);
  }

  /** Returns the tokens that may be given to a router that asks for {@code tokens}. */
  public synchronized long spare(String workspace, long tokens) {
    return policy.gift(workspace, ledger.available(workspace), tokens, clock.nowMillis());
  }

  /** Sets for how many routers this one holds the reserve that outlasts a partition. */
  public synchronized void setReserveShare(double routers) {
    policy.setReserveShare(routers);
    ledger.setSharePerMille(Math.max(1_000, Math.round(1_000 * routers)));
  }

  /**
   * Returns the workspaces with waiting requests, and the tokens to ask peers for: what the
   * requests lack and some for the next ones.
   */
  public synchronized Map<String, Long> shortages() {
    Map<String, Long> out = new HashMap<>();
    for (String w : waiting.workspaces()) {
      long lack = lacking(w);
      if (lack > 0) {
        out.put(w, policy.askPeer(w, lack, clock.nowMillis()));
      }
    }
    return out;
  }

  /** Returns the number of billing records that the control group has not acknowledged. */
  public synchronized int unsettledRecords() {
    return settlements.size();
  }

  /** Refuses waiting requests that have waited too long, resends, settles. Call every 100 ms. */
  public void tick() {
    Set<String> workspaces;
    synchronized (this) {
      workspaces = new HashSet<>(ledger.workspaces());
      workspaces.addAll(waiting.workspaces());
    }
    for (String w : workspaces) {
      serveWaiters(w);
      expireWaiters(w);
      askForGrant(w);
    }
    settleNext();
    watermarkPending.run();
  }

  /** Hands back what is not needed; {@code recalled} are the workspaces that lack tokens. */
  public void handBack(Set<String> recalled) {
    synchronized (this) {
      long now = clock.nowMillis();
      for (String w : ledger.workspaces()) {
        long spare =
            policy.surplus(w, tradeoffs.apply(w), ledger.available(w), recalled.contains(w), now);
        if (spare > 0 && !ledger.hasPendingGrant(w)) {
          ledger.giveBack(w, spare);
        }
      }
    }
    sendReturns();
  }

  /**
   * Settles and returns everything. Call when no request is open, and repeat until it returns true.
   */
  public boolean drain() {
    synchronized (this) {
      draining = true;
      for (String w : ledger.workspaces()) {
        ledger.giveBack(w, Long.MAX_VALUE);
      }
    }
    settleNext();
    sendReturns();
    synchronized (this) {
      // A grant that is still under way would arrive after the return of everything else.
      boolean granting = ledger.workspaces().stream().anyMatch(ledger::hasPendingGrant);
      return !granting && settlements.size() == 0 && ledger.unacknowledgedReturns().isEmpty();
    }
  }

  /** Returns what keeps {@link #drain} from being done, for the log. */
  public synchronized String undrained() {
    List<String> granting = ledger.workspaces().stream().filter(ledger::hasPendingGrant).toList();
    return "%s records unsettled, returns %s, grants pending for %s"
        .formatted(settlements.size(), ledger.unacknowledgedReturns(), granting);
  }

  /** Serves waiting requests from what has become available. */
  public void serveWaiters(String workspace) {
    List<Waiter> served =
        takeWaiters(
            workspace,
            w -> ledger.reserve(workspace, w.reservation().tokens()) == Reservation.RESERVED);
    served.forEach(w -> w.future().complete(w.reservation()));
  }

  private void expireWaiters(String workspace) {
    long since = clock.nowMillis() - RESERVE_WAIT_MILLIS;
    for (Waiter w : takeWaiters(workspace, x -> x.sinceMillis() <= since)) {
      w.future().completeExceptionally(refusal(workspace, w));
    }
  }

  private synchronized List<Waiter> takeWaiters(String workspace, Predicate<Waiter> condition) {
    return waiting.take(workspace, condition);
  }

  private long lacking(String workspace) {
    return Math.max(0, waiting.tokens(workspace) - ledger.available(workspace));
  }

  private void askForGrant(String workspace) {
    ControlCommand.GrantAllotment grant;
    synchronized (this) {
      long now = clock.nowMillis();
      Long last = asked.get(workspace);
      if (last != null && now - last < GRANT_RESEND_MILLIS) {
        return;
      }
      long available = ledger.available(workspace);
      if (ledger.hasPendingGrant(workspace)) {
        grant = ledger.requestGrant(workspace, 0, 0);
      } else if (draining) {
        return;
      } else {
        Optional<GrantPolicy.Ask> ask =
            policy.ask(workspace, tradeoffs.apply(workspace), available, lacking(workspace), now);
        if (ask.isEmpty()) {
          return;
        }
        grant = ledger.requestGrant(workspace, ask.get().tokens(), ask.get().needed());
      }
      asked.put(workspace, now);
    }
    control.submit(grant).whenComplete((r, e) -> onGrantReply(grant, r, e));
  }

  private void onGrantReply(ControlCommand.GrantAllotment grant, ControlReply r, Throwable e) {
    String workspace = grant.workspace();
    if (e != null) {
      logger.atFine().log("budget: grant %s of %s failed: %s", grant.number(), workspace, e);
      return;
    }
    boolean more;
    synchronized (this) {
      answeredMillis.put(workspace, clock.nowMillis());
      if (r instanceof ControlReply.Granted g) {
        ledger.grantReceived(workspace, g.number(), g.tokens());
        more = g.tokens() > 0;
      } else {
        ledger.grantRefused(workspace, grant.number());
        more = false;
      }
      if (more) {
        asked.remove(workspace);
      }
    }
    serveWaiters(workspace);
    if (more) {
      askForGrant(workspace);
    }
  }

  private void settleNext() {
    Optional<ControlCommand.SettleRequests> batch;
    synchronized (this) {
      if (settling) {
        return;
      }
      batch = settlements.next(clock.nowMillis(), true);
      settling = batch.isPresent();
    }
    if (batch.isPresent()) {
      control.submit(batch.get()).whenComplete((r, e) -> onSettleReply(batch.get(), r, e));
    }
  }

  private void onSettleReply(ControlCommand.SettleRequests batch, ControlReply r, Throwable e) {
    List<SettlementQueue.Outcome> outcomes = List.of();
    synchronized (this) {
      settling = false;
      if (e == null && r instanceof ControlReply.Settled s) {
        outcomes = settlements.acknowledge(s);
      } else if (e == null) {
        outcomes = settlements.refuse(batch.batch());
      }
    }
    for (SettlementQueue.Outcome o : outcomes) {
      CompletableFuture<Void> done;
      synchronized (this) {
        done = unsettled.remove(o.record());
      }
      done.complete(null);
      if (o.result() == SettlementQueue.Result.REJECTED) {
        logger.atSevere().log(
            "budget: record of request %s in workspace %s was rejected: %s",
            o.record().requestId(), o.record().workspace(), r);
      }
    }
    if (e == null) {
      settleNext();
    }
  }

  private void sendReturns() {
    List<ControlCommand.ReturnAllotment> returns = new ArrayList<>();
    synchronized (this) {
      for (ControlCommand.ReturnAllotment r : ledger.unacknowledgedReturns()) {
        if (returning.add(r.workspace())) {
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
                  returning.remove(r.workspace());
                  if (e == null && reply instanceof ControlReply.Done) {
                    ledger.returnAcknowledged(r.workspace(), r.returnedTotal());
                  } else {
                    logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                        "budget: return %s is not acknowledged: %s", r, e == null ? reply : e);
                  }
                }
              });
    }
  }

  private synchronized RequestFailure refusal(String workspace, Waiter w) {
    long available = ledger.available(workspace);
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "budget: refused %s tokens of %s: %s available, grant under way: %s",
        w.reservation().tokens(), workspace, available, ledger.hasPendingGrant(workspace));
    if (available >= w.reservation().tokens()) {
      return BudgetRefusals.slowDisk();
    }
    return answeredMillis.getOrDefault(workspace, Long.MIN_VALUE) >= w.sinceMillis()
        ? BudgetRefusals.exhausted(workspace)
        : BudgetRefusals.unanswered(workspace);
  }
}
