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
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlCommand.GrantAllotment;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Recall;
import org.goldcrestfall.core.control.Tradeoff;

/** One router incarnation of the replay, wired as the daemon wires it. */
final class EscrowRouter {

  private static final long TICK_MILLIS = 100;
  private static final long RESEND_MILLIS = 1_000;
  private static final long PEER_MILLIS = 1;
  private static final long WAIT_MILLIS = 1_000;

  private final int number;
  private final Tradeoff tradeoff;
  private final EventLoop loop;
  private final EscrowPolicy net;
  private final BlockWatermark watermark;
  private final Map<String, Long> disk;
  private final AllotmentLedger ledger;
  private final SettlementQueue queue;
  private final TransferLedger transfers;
  private final GrantPolicy policy = new GrantPolicy();
  private final Map<String, ArrayDeque<Waiting>> waiting = new HashMap<>();
  private final Map<String, Long> askedMillis = new HashMap<>();
  private long resentMillis;
  private boolean dead;

  private record Waiting(Request request, Consumer<Boolean> decision, long untilMillis) {}

  EscrowRouter(
      int number,
      Incarnation self,
      Tradeoff tradeoff,
      EventLoop loop,
      EscrowPolicy net,
      Map<String, Long> disk) {
    this.number = number;
    this.tradeoff = tradeoff;
    this.loop = loop;
    this.net = net;
    this.disk = disk;
    watermark = disk == null ? null : new BlockWatermark(w -> policy.block(w, loop.now()));
    ledger = new AllotmentLedger(self, disk == null ? UseLimit.NONE : watermark);
    queue = new SettlementQueue(ledger);
    transfers = new TransferLedger(ledger);
    policy.setReserveShare(EscrowPolicy.reserveShare(number));
    ledger.setSharePerMille((long) (1000 * Math.max(1, EscrowPolicy.reserveShare(number))));
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      waiting.put(BudgetTrace.workspace(w), new ArrayDeque<>());
    }
  }

  int number() {
    return number;
  }

  void die() {
    dead = true;
    // The caller of a waiting request sees the connection break; the replay counts it as refused.
    waiting.values().forEach(q -> q.forEach(x -> x.decision().accept(false)));
  }

  void request(Request r, Consumer<Boolean> decision) {
    String w = BudgetTrace.workspace(r.workspace());
    policy.demand(w, r.worstCase(), loop.now());
    if (waiting.get(w).isEmpty() && reserve(w, r.worstCase())) {
      decision.accept(true);
      return;
    }
    waiting.get(w).add(new Waiting(r, decision, loop.now() + WAIT_MILLIS));
    ask(w);
  }

  private boolean reserve(String w, long tokens) {
    Reservation result = ledger.reserve(w, tokens);
    if (watermark != null) {
      watermark
          .nextWrite()
          .ifPresent(
              marks -> {
                disk.putAll(marks);
                watermark.written(marks);
              });
      if (result == Reservation.WATERMARK_PENDING) {
        result = ledger.reserve(w, tokens);
      }
    }
    return result == Reservation.RESERVED;
  }

  void end(Request r) {
    String w = BudgetTrace.workspace(r.workspace());
    ledger.settle(w, r.worstCase(), r.used());
    policy.used(w, r.used(), loop.now());
    queue.add(
        new BillingRecord(w, "r" + r.id(), "", "m", "quick", r.used(), 0, r.used(), loop.now()),
        loop.now());
    serveWaiting(w);
  }

  private void serveWaiting(String w) {
    ArrayDeque<Waiting> q = waiting.get(w);
    while (!q.isEmpty() && reserve(w, q.peek().request().worstCase())) {
      q.poll().decision().accept(true);
    }
  }

  private long needed(String w) {
    long sum = 0;
    for (Waiting x : waiting.get(w)) {
      sum += x.request().worstCase();
    }
    return Math.max(0, sum - ledger.available(w));
  }

  private void ask(String w) {
    long needed = needed(w);
    boolean pending = ledger.hasPendingGrant(w);
    if (pending && loop.now() - askedMillis.getOrDefault(w, 0L) < RESEND_MILLIS) {
      if (needed > 0 && net.isCut(this)) {
        askPeers(w);
      }
      return;
    }
    policy
        .ask(w, tradeoff, ledger.available(w), needed, loop.now())
        .ifPresent(
            a -> {
              askedMillis.put(w, loop.now());
              net.send(this, ledger.requestGrant(w, a.tokens(), a.needed()));
            });
    if (needed > 0 && net.isCut(this)) {
      askPeers(w);
    }
  }

  private void askPeers(String w) {
    loop.after(
        2 * PEER_MILLIS,
        () -> {
          long missing = dead || needed(w) == 0 ? 0 : policy.askPeer(w, needed(w), loop.now());
          for (EscrowRouter peer : net.peers(this)) {
            if (missing > 0) {
              missing -= peer.giveTo(this, w, missing);
            }
          }
          if (!dead) {
            serveWaiting(w);
          }
        });
  }

  private long giveTo(EscrowRouter to, String w, long asked) {
    long tokens = policy.gift(w, ledger.available(w), asked, loop.now());
    var transfer = transfers.give(w, tokens, to.ledger.self());
    if (transfer.isEmpty()) {
      return 0;
    }
    to.transfers.receive(transfer.get());
    transfers.delivered(w, transfer.get().number());
    return tokens;
  }

  void handle(ControlCommand command, ControlReply reply) {
    if (command instanceof GrantAllotment c) {
      if (reply instanceof ControlReply.Granted g) {
        ledger.grantReceived(c.workspace(), g.number(), g.tokens());
      } else {
        ledger.grantRefused(c.workspace(), c.number());
      }
      serveWaiting(c.workspace());
    } else if (reply instanceof ControlReply.Settled s) {
      queue.acknowledge(s);
    } else if (command instanceof ControlCommand.ReturnAllotment c) {
      ledger.returnAcknowledged(c.workspace(), c.returnedTotal());
    } else if (command instanceof ControlCommand.TransferAllotment c) {
      transfers.reported(c);
    }
  }

  void tick() {
    if (dead) {
      return;
    }
    queue.next(loop.now(), false).ifPresent(c -> net.send(this, c));
    Map<String, Boolean> recalled = new HashMap<>();
    List<?> recalls = net.recalls(this);
    if (recalls != null) {
      recalls.forEach(x -> recalled.put(((Recall) x).workspace(), true));
    }
    for (int i = 0; i < BudgetTrace.WORKSPACES; i++) {
      String w = BudgetTrace.workspace(i);
      expire(w);
      ask(w);
      if (recalls != null && waiting.get(w).isEmpty()) {
        long surplus =
            policy.surplus(w, tradeoff, ledger.available(w), recalled.containsKey(w), loop.now());
        ledger.giveBack(w, surplus);
      }
    }
    if (loop.now() - resentMillis >= RESEND_MILLIS || !ledger.unacknowledgedReturns().isEmpty()) {
      resentMillis = loop.now();
      ledger.unacknowledgedReturns().forEach(c -> net.send(this, c));
      transfers.unreported().forEach(c -> net.send(this, c));
    }
    loop.after(TICK_MILLIS, this::tick);
  }

  private void expire(String w) {
    Iterator<Waiting> i = waiting.get(w).iterator();
    while (i.hasNext()) {
      Waiting x = i.next();
      if (x.untilMillis() <= loop.now()) {
        i.remove();
        x.decision().accept(false);
      }
    }
  }
}
