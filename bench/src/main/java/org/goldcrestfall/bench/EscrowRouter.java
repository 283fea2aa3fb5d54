package org.goldcrestfall.bench;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.core.budget.AllotmentLedger;
import org.goldcrestfall.core.budget.BlockWatermark;
import org.goldcrestfall.core.budget.GrantPolicy;
import org.goldcrestfall.core.budget.Reservation;
import org.goldcrestfall.core.budget.SettlementQueue;
import org.goldcrestfall.core.budget.TransferLedger;
import org.goldcrestfall.core.budget.UseLimit;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.control.BudgetShortage;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlCommand.GrantAllotment;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Tradeoff;

/**
 * One incarnation of a router in the replay. It connects the ledgers, the watermark and the grant
 * policy in the same way as the daemon.
 */
final class EscrowRouter {

  private static final long TICK_MILLIS = 100;
  private static final long RESEND_MILLIS = 1_000;

  /** Latency of the network between two routers, in one direction. */
  private static final long PEER_ONE_WAY_MILLIS = 1;

  /** How long a request waits for tokens before it is refused. */
  private static final long MAX_WAIT_MILLIS = 1_000;

  private final int number;
  private final Tradeoff tradeoff;
  private final SimulatedEventLoop loop;
  private final EscrowPolicy policy;
  private final BlockWatermark watermark;
  private final Map<String, Long> watermarksOnDisk;
  private final AllotmentLedger ledger;
  private final SettlementQueue settlementQueue;
  private final TransferLedger transfers;
  private final GrantPolicy grantPolicy = new GrantPolicy();
  private final Map<String, ArrayDeque<WaitingRequest>> waiting = new HashMap<>();
  private final Map<String, Long> lastGrantRequestMillis = new HashMap<>();
  private long lastResendMillis;
  private boolean crashed;

  private record WaitingRequest(Request request, Consumer<Boolean> decision, long deadlineMillis) {}

  /**
   * Creates a router.
   *
   * @param watermarksOnDisk receives the watermarks that the router writes; null if it has no disk
   */
  EscrowRouter(
      int number,
      Incarnation self,
      Tradeoff tradeoff,
      SimulatedEventLoop loop,
      EscrowPolicy policy,
      Map<String, Long> watermarksOnDisk) {
    this.number = number;
    this.tradeoff = tradeoff;
    this.loop = loop;
    this.policy = policy;
    this.watermarksOnDisk = watermarksOnDisk;
    watermark =
        watermarksOnDisk == null
            ? null
            : new BlockWatermark(
                workspace -> grantPolicy.watermarkBlockTokens(workspace, loop.nowMillis()));
    ledger = new AllotmentLedger(self, watermarksOnDisk == null ? UseLimit.NONE : watermark);
    settlementQueue = new SettlementQueue(ledger);
    transfers = new TransferLedger(ledger);
    grantPolicy.setReserveShare(EscrowPolicy.reserveShare(number));
    ledger.setSharePerMille((long) (1000 * Math.max(1, EscrowPolicy.reserveShare(number))));
    for (int i = 0; i < BudgetTrace.WORKSPACES; i++) {
      waiting.put(BudgetTrace.workspace(i), new ArrayDeque<>());
    }
  }

  int number() {
    return number;
  }

  void crash() {
    crashed = true;
    // The connections of waiting requests break, which the replay counts as refusals.
    waiting
        .values()
        .forEach(q -> q.forEach(waitingRequest -> waitingRequest.decision().accept(false)));
  }

  void startRequest(Request r, Consumer<Boolean> decision) {
    String workspace = BudgetTrace.workspace(r.workspace());
    grantPolicy.recordDemand(workspace, r.worstCase(), loop.nowMillis());
    if (waiting.get(workspace).isEmpty() && reserve(workspace, r.worstCase())) {
      decision.accept(true);
      return;
    }
    waiting.get(workspace).add(new WaitingRequest(r, decision, loop.nowMillis() + MAX_WAIT_MILLIS));
    requestGrant(workspace);
  }

  private boolean reserve(String workspace, long tokens) {
    Reservation result = ledger.reserve(workspace, tokens);
    if (watermark != null) {
      watermark
          .nextWrite()
          .ifPresent(
              watermarks -> {
                watermarksOnDisk.putAll(watermarks);
                watermark.written(watermarks);
              });
      if (result == Reservation.WATERMARK_PENDING) {
        result = ledger.reserve(workspace, tokens);
      }
    }
    return result == Reservation.RESERVED;
  }

  void finishRequest(Request r) {
    String workspace = BudgetTrace.workspace(r.workspace());
    ledger.recordUse(workspace, r.worstCase(), r.used());
    grantPolicy.recordUse(workspace, r.used(), loop.nowMillis());
    settlementQueue.add(
        new BillingRecord(
            workspace, "r" + r.id(), "", "m", "quick", r.used(), 0, r.used(), loop.nowMillis()),
        loop.nowMillis());
    serveWaiting(workspace);
  }

  private void serveWaiting(String workspace) {
    ArrayDeque<WaitingRequest> q = waiting.get(workspace);
    while (!q.isEmpty() && reserve(workspace, q.peek().request().worstCase())) {
      q.poll().decision().accept(true);
    }
  }

  private long neededTokens(String workspace) {
    long sum = 0;
    for (WaitingRequest waitingRequest : waiting.get(workspace)) {
      sum += waitingRequest.request().worstCase();
    }
    return Math.max(0, sum - ledger.available(workspace));
  }

  /**
   * Requests a grant if tokens are low; a router that is cut off also requests tokens from peers.
   */
  private void requestGrant(String workspace) {
    long needed = neededTokens(workspace);
    boolean pending = ledger.hasPendingGrant(workspace);
    if (pending
        && loop.nowMillis() - lastGrantRequestMillis.getOrDefault(workspace, 0L) < RESEND_MILLIS) {
      if (needed > 0 && policy.isPartitioned(this)) {
        requestFromPeers(workspace);
      }
      return;
    }
    grantPolicy
        .grantRequest(workspace, tradeoff, ledger.available(workspace), needed, loop.nowMillis())
        .ifPresent(
            request -> {
              lastGrantRequestMillis.put(workspace, loop.nowMillis());
              policy.send(this, ledger.requestGrant(workspace, request.tokens(), request.needed()));
            });
    if (needed > 0 && policy.isPartitioned(this)) {
      requestFromPeers(workspace);
    }
  }

  private void requestFromPeers(String workspace) {
    loop.scheduleAfter(
        2 * PEER_ONE_WAY_MILLIS,
        () -> {
          long missing =
              crashed || neededTokens(workspace) == 0
                  ? 0
                  : grantPolicy.peerRequestTokens(
                      workspace, neededTokens(workspace), loop.nowMillis());
          for (EscrowRouter peer : policy.reachablePeers(this)) {
            if (missing > 0) {
              missing -= peer.transferTo(this, workspace, missing);
            }
          }
          if (!crashed) {
            serveWaiting(workspace);
          }
        });
  }

  /** Transfers available tokens to a peer and returns their number, which may be 0. */
  private long transferTo(EscrowRouter peer, String workspace, long requested) {
    long tokens =
        grantPolicy.transferableTokens(
            workspace, ledger.available(workspace), requested, loop.nowMillis());
    var transfer = transfers.startTransfer(workspace, tokens, peer.ledger.self());
    if (transfer.isEmpty()) {
      return 0;
    }
    peer.transfers.receive(transfer.get());
    transfers.delivered(workspace, transfer.get().number());
    return tokens;
  }

  void handleReply(ControlCommand command, ControlReply reply) {
    if (command instanceof GrantAllotment c) {
      if (reply instanceof ControlReply.Granted g) {
        ledger.grantReceived(c.workspace(), g.number(), g.tokens());
      } else {
        ledger.grantRefused(c.workspace(), c.number());
      }
      serveWaiting(c.workspace());
    } else if (reply instanceof ControlReply.Settled s) {
      settlementQueue.acknowledge(s);
    } else if (command instanceof ControlCommand.ReturnAllotment c) {
      ledger.returnAcknowledged(c.workspace(), c.returnedTotal());
    } else if (command instanceof ControlCommand.TransferAllotment c) {
      transfers.reported(c);
    }
  }

  /** Does the periodic work of the router and schedules the next call. */
  void tick() {
    if (crashed) {
      return;
    }
    settlementQueue.nextBatch(loop.nowMillis(), false).ifPresent(c -> policy.send(this, c));
    Map<String, Boolean> recalled = new HashMap<>();
    List<?> shortages = policy.recalls(this);
    if (shortages != null) {
      shortages.forEach(shortage -> recalled.put(((BudgetShortage) shortage).workspace(), true));
    }
    for (int i = 0; i < BudgetTrace.WORKSPACES; i++) {
      String workspace = BudgetTrace.workspace(i);
      refuseExpired(workspace);
      requestGrant(workspace);
      if (shortages != null && waiting.get(workspace).isEmpty()) {
        long surplus =
            grantPolicy.surplus(
                workspace,
                tradeoff,
                ledger.available(workspace),
                recalled.containsKey(workspace),
                loop.nowMillis());
        ledger.returnTokens(workspace, surplus);
      }
    }
    if (loop.nowMillis() - lastResendMillis >= RESEND_MILLIS
        || !ledger.unacknowledgedReturns().isEmpty()) {
      lastResendMillis = loop.nowMillis();
      ledger.unacknowledgedReturns().forEach(c -> policy.send(this, c));
      transfers.unreported().forEach(c -> policy.send(this, c));
    }
    loop.scheduleAfter(TICK_MILLIS, this::tick);
  }

  private void refuseExpired(String workspace) {
    Iterator<WaitingRequest> i = waiting.get(workspace).iterator();
    while (i.hasNext()) {
      WaitingRequest waitingRequest = i.next();
      if (waitingRequest.deadlineMillis() <= loop.nowMillis()) {
        i.remove();
        waitingRequest.decision().accept(false);
      }
    }
  }
}
