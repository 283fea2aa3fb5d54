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
  private final EscrowPolicy network;
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
      EscrowPolicy network,
      Map<String, Long> watermarksOnDisk) {
    this.number = number;
    this.tradeoff = tradeoff;
    this.loop = loop;
    this.network = network;
    this.watermarksOnDisk = watermarksOnDisk;
    watermark =
        watermarksOnDisk == null
            ? null
            : new BlockWatermark(w -> grantPolicy.watermarkBlockTokens(w, loop.nowMillis()));
    ledger = new AllotmentLedger(self, watermarksOnDisk == null ? UseLimit.NONE : watermark);
    settlementQueue = new SettlementQueue(ledger);
    transfers = new TransferLedger(ledger);
    grantPolicy.setReserveShare(EscrowPolicy.reserveShare(number));
    ledger.setSharePerMille((long) (1000 * Math.max(1, EscrowPolicy.reserveShare(number))));
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      waiting.put(BudgetTrace.workspace(w), new ArrayDeque<>());
    }
  }

  int number() {
    return number;
  }

  void crash() {
    crashed = true;
    // The connections of waiting requests break, which the replay counts as refusals.
    waiting.values().forEach(q -> q.forEach(x -> x.decision().accept(false)));
  }

  void startRequest(Request r, Consumer<Boolean> decision) {
    String w = BudgetTrace.workspace(r.workspace());
    grantPolicy.recordDemand(w, r.worstCase(), loop.nowMillis());
    if (waiting.get(w).isEmpty() && reserve(w, r.worstCase())) {
      decision.accept(true);
      return;
    }
    waiting.get(w).add(new WaitingRequest(r, decision, loop.nowMillis() + MAX_WAIT_MILLIS));
    requestGrant(w);
  }

  private boolean reserve(String w, long tokens) {
    Reservation result = ledger.reserve(w, tokens);
    if (watermark != null) {
      watermark
          .nextWrite()
          .ifPresent(
              watermarks -> {
                watermarksOnDisk.putAll(watermarks);
                watermark.written(watermarks);
              });
      if (result == Reservation.WATERMARK_PENDING) {
        result = ledger.reserve(w, tokens);
      }
    }
    return result == Reservation.RESERVED;
  }

  void finishRequest(Request r) {
    String w = BudgetTrace.workspace(r.workspace());
    ledger.settle(w, r.worstCase(), r.used());
    grantPolicy.recordUse(w, r.used(), loop.nowMillis());
    settlementQueue.add(
        new BillingRecord(
            w, "r" + r.id(), "", "m", "quick", r.used(), 0, r.used(), loop.nowMillis()),
        loop.nowMillis());
    serveWaiting(w);
  }

  private void serveWaiting(String w) {
    ArrayDeque<WaitingRequest> q = waiting.get(w);
    while (!q.isEmpty() && reserve(w, q.peek().request().worstCase())) {
      q.poll().decision().accept(true);
    }
  }

  private long neededTokens(String w) {
    long sum = 0;
    for (WaitingRequest x : waiting.get(w)) {
      sum += x.request().worstCase();
    }
    return Math.max(0, sum - ledger.available(w));
  }

  /**
   * Requests a grant if tokens are low; a router that is cut off also requests tokens from peers.
   */
  private void requestGrant(String w) {
    long needed = neededTokens(w);
    boolean pending = ledger.hasPendingGrant(w);
    if (pending && loop.nowMillis() - lastGrantRequestMillis.getOrDefault(w, 0L) < RESEND_MILLIS) {
      if (needed > 0 && network.isPartitioned(this)) {
        requestFromPeers(w);
      }
      return;
    }
    grantPolicy
        .grantRequest(w, tradeoff, ledger.available(w), needed, loop.nowMillis())
        .ifPresent(
            request -> {
              lastGrantRequestMillis.put(w, loop.nowMillis());
              network.send(this, ledger.requestGrant(w, request.tokens(), request.needed()));
            });
    if (needed > 0 && network.isPartitioned(this)) {
      requestFromPeers(w);
    }
  }

  private void requestFromPeers(String w) {
    loop.scheduleAfter(
        2 * PEER_ONE_WAY_MILLIS,
        () -> {
          long missing =
              crashed || neededTokens(w) == 0
                  ? 0
                  : grantPolicy.peerRequestTokens(w, neededTokens(w), loop.nowMillis());
          for (EscrowRouter peer : network.reachablePeers(this)) {
            if (missing > 0) {
              missing -= peer.transferTo(this, w, missing);
            }
          }
          if (!crashed) {
            serveWaiting(w);
          }
        });
  }

  /** Transfers available tokens to a peer and returns their number, which may be 0. */
  private long transferTo(EscrowRouter peer, String w, long requested) {
    long tokens =
        grantPolicy.transferableTokens(w, ledger.available(w), requested, loop.nowMillis());
    var transfer = transfers.startTransfer(w, tokens, peer.ledger.self());
    if (transfer.isEmpty()) {
      return 0;
    }
    peer.transfers.receive(transfer.get());
    transfers.delivered(w, transfer.get().number());
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
    settlementQueue.next(loop.nowMillis(), false).ifPresent(c -> network.send(this, c));
    Map<String, Boolean> recalled = new HashMap<>();
    List<?> recalls = network.recalls(this);
    if (recalls != null) {
      recalls.forEach(x -> recalled.put(((BudgetShortage) x).workspace(), true));
    }
    for (int i = 0; i < BudgetTrace.WORKSPACES; i++) {
      String w = BudgetTrace.workspace(i);
      refuseExpired(w);
      requestGrant(w);
      if (recalls != null && waiting.get(w).isEmpty()) {
        long surplus =
            grantPolicy.surplus(
                w, tradeoff, ledger.available(w), recalled.containsKey(w), loop.nowMillis());
        ledger.returnTokens(w, surplus);
      }
    }
    if (loop.nowMillis() - lastResendMillis >= RESEND_MILLIS
        || !ledger.unacknowledgedReturns().isEmpty()) {
      lastResendMillis = loop.nowMillis();
      ledger.unacknowledgedReturns().forEach(c -> network.send(this, c));
      transfers.unreported().forEach(c -> network.send(this, c));
    }
    loop.scheduleAfter(TICK_MILLIS, this::tick);
  }

  private void refuseExpired(String w) {
    Iterator<WaitingRequest> i = waiting.get(w).iterator();
    while (i.hasNext()) {
      WaitingRequest x = i.next();
      if (x.deadlineMillis() <= loop.nowMillis()) {
        i.remove();
        x.decision().accept(false);
      }
    }
  }
}
