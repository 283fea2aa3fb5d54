package org.goldcrestfall.core.budget;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Tradeoff;

/** A router process without I/O: the classes under test, connected as in the daemon. */
final class FakeRouter {

  static final String WORKSPACE = "hulls";

  final Incarnation self;
  final AllotmentLedger ledger;
  final SettlementQueue queue;
  final TransferLedger transfers;
  final BookingLedger bookings;
  final GrantPolicy policy = new GrantPolicy();
  final BlockWatermark watermark;
  final List<RunningRequest> runningRequests = new ArrayList<>();
  final Set<Long> attemptsToSend = new HashSet<>();
  private long neededTokens;
  boolean alive = true;
  boolean frozen;
  boolean partitioned;

  FakeRouter(Incarnation self, boolean disk) {
    this.self = self;
    watermark = disk ? new BlockWatermark(40) : null;
    ledger = disk ? new AllotmentLedger(self, watermark) : new AllotmentLedger(self);
    queue = new SettlementQueue(ledger);
    transfers = new TransferLedger(ledger);
    bookings = new BookingLedger(ledger);
  }

  /** A request of this router that an engine is processing. */
  record RunningRequest(String id, long reserved) {}

  boolean isActive() {
    return alive && !frozen;
  }

  /** Returns the commands that the router would send or resend now. */
  List<ControlCommand> outbox(long now, boolean flush) {
    List<ControlCommand> commands = new ArrayList<>();
    commands.addAll(transfers.unreported());
    transfers
        .closedThrough()
        .ifPresent(i -> commands.add(new ControlCommand.ReportTransfers(self, i)));
    policy
        .grantRequest(WORKSPACE, Tradeoff.STRICT, ledger.available(WORKSPACE), neededTokens, now)
        .ifPresent(a -> commands.add(ledger.requestGrant(WORKSPACE, a.tokens(), a.needed())));
    queue.nextBatch(now, flush).ifPresent(commands::add);
    commands.addAll(ledger.unacknowledgedReturns());
    commands.addAll(bookings.unanswered());
    commands.addAll(bookings.unfinished());
    return commands;
  }

  /** Handles the reply to a command; returns the booking attempt whose call may be sent, or 0. */
  long handle(ControlCommand command, ControlReply reply) {
    if (command instanceof ControlCommand.GrantAllotment c) {
      if (reply instanceof ControlReply.Granted g) {
        ledger.grantReceived(WORKSPACE, g.number(), g.tokens());
      } else {
        ledger.grantRefused(WORKSPACE, c.number());
      }
    } else if (command instanceof ControlCommand.SettleRequests c) {
      if (reply instanceof ControlReply.Settled s) {
        queue.acknowledge(s);
      } else {
        queue.refuse(c.batch());
      }
    } else if (command instanceof ControlCommand.ReturnAllotment c) {
      ledger.returnAcknowledged(WORKSPACE, c.returnedTotal());
    } else if (command instanceof ControlCommand.TransferAllotment c) {
      transfers.reported(c);
    } else if (command instanceof ControlCommand.FinishBooking c) {
      bookings.finished(c.attempt(), reply);
    } else if (command instanceof ControlCommand.StartBooking c) {
      if (bookings.started(c.attempt(), reply) == BookingLedger.Decision.SEND) {
        return c.attempt();
      }
    }
    return 0;
  }

  /** Starts a request if the ledger covers its worst case, and returns whether it did. */
  boolean run(String id, long worstCase, long now) {
    policy.recordDemand(WORKSPACE, worstCase, now);
    neededTokens = 0;
    if (!reserve(worstCase)) {
      neededTokens = worstCase;
      return false;
    }
    runningRequests.add(new RunningRequest(id, worstCase));
    return true;
  }

  boolean reserve(long tokens) {
    Reservation r = ledger.reserve(WORKSPACE, tokens);
    if (r == Reservation.WATERMARK_PENDING) {
      writeWatermark();
      r = ledger.reserve(WORKSPACE, tokens);
    }
    return r == Reservation.RESERVED;
  }

  void writeWatermark() {
    if (watermark != null) {
      watermark.nextWrite().ifPresent(watermark::written);
    }
  }

  Map<String, Long> durableWatermarks() {
    return Map.of(WORKSPACE, watermark.durable(WORKSPACE));
  }

  /** Finishes a request and settles its actual use. */
  void finishRequest(RunningRequest run, long used, long now) {
    runningRequests.remove(run);
    ledger.recordUse(WORKSPACE, run.reserved(), used);
    queue.add(new BillingRecord(WORKSPACE, run.id(), "h", "m", "quick", 0, used, used, now), now);
  }
}
