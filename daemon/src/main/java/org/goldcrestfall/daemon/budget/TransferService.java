package org.goldcrestfall.daemon.budget;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.goldcrestfall.core.budget.ReserveShare;
import org.goldcrestfall.core.budget.TransferLedger;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.TransferAck;
import org.goldcrestfall.wire.generated.TransferOffer;
import org.goldcrestfall.wire.generated.TransferRequest;

/**
 * Transfers tokens between routers, so that the routers on one side of a partition can share their
 * tokens without the control group. Transfers are reported to the control group when it is
 * reachable.
 */
public final class TransferService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CALL_TIMEOUT_MILLIS = 500;

  /** Minimum time between two requests to peers for tokens of the same workspace. */
  private static final long REQUEST_INTERVAL_MILLIS = 300;

  private static final int PEERS_PER_REQUEST = 3;

  private final BudgetService budgets;
  private final TransferLedger transfers;
  private final PeerTransport transport;
  private final ControlService control;
  private final Supplier<Map<Incarnation, String>> routers;
  private final MillisClock clock;
  private final Map<String, Long> requestedAtMillis = new HashMap<>();
  private volatile Set<String> hostsWithDisk = Set.of();
  private boolean reportPending;

  /**
   * Creates the service and registers its message handlers.
   *
   * @param routers supplies the addresses of the other live routers
   */
  public TransferService(
      BudgetService budgets,
      PeerTransport transport,
      ControlService control,
      Supplier<Map<Incarnation, String>> routers,
      MillisClock clock) {
    this.budgets = budgets;
    this.transport = transport;
    this.control = control;
    this.routers = routers;
    this.clock = clock;
    transfers = budgets.withLedger(TransferLedger::new);
    transport.registerHandler(Body.KindCase.TRANSFER_REQUEST, this::onRequest);
    transport.registerHandler(Body.KindCase.TRANSFER_OFFER, this::onOffer);
    transport.registerHandler(
        Body.KindCase.TRANSFER_ACK,
        (sender, body) -> {
          onAck(body.getTransferAck());
          return null;
        });
  }

  /** Asks other routers for the tokens that waiting requests lack. Call every 100 ms. */
  public void tick() {
    Map<String, Long> neededTokens = budgets.peerRequestTokens();
    long now = clock.nowMillis();
    for (Map.Entry<String, Long> e : neededTokens.entrySet()) {
      Long last = requestedAtMillis.get(e.getKey());
      if (last == null || now - last >= REQUEST_INTERVAL_MILLIS) {
        requestedAtMillis.put(e.getKey(), now);
        requestFromPeers(e.getKey(), e.getValue());
      }
    }
    requestedAtMillis.keySet().retainAll(neededTokens.keySet());
  }

  /** Resends unacknowledged transfers, and reports transfers. Call every second. */
  public void resendAndReport() {
    List<ControlCommand.TransferAllotment> undelivered =
        budgets.withLedger(l -> transfers.undelivered());
    Map<Incarnation, String> live = routers.get();
    for (ControlCommand.TransferAllotment t : undelivered) {
      String address = live.get(t.to());
      if (address != null) {
        transport
            .call(address, offer(t), CALL_TIMEOUT_MILLIS)
            .thenAccept(b -> onAck(b.getTransferAck()));
      }
    }
    reportNext();
  }

  /**
   * Queries which incarnations are closed and confirms to the control group that all transfers
   * received from them are reported.
   */
  public void checkClosedIncarnations() {
    control
        .query(new ControlQuery.Hosts())
        .whenComplete(
            (n, e) -> {
              if (e == null) {
                applyHosts(n);
              }
            });
  }

  private void applyHosts(JsonNode hosts) {
    Set<Incarnation> closed = new HashSet<>();
    List<ReserveShare.Router> inService = new ArrayList<>();
    long latestClosingIndex = 0;
    for (JsonNode h : hosts) {
      if (h.path("router").asBoolean() && h.path("closed_at").asLong() == 0) {
        inService.add(
            new ReserveShare.Router(
                h.path("host").asText(), h.path("zone").asText(), h.path("disk").asBoolean()));
      }
      long boot = h.path("boot").asLong();
      boolean open = h.path("closed_at").asLong() == 0;
      for (long b = 1; b < boot || (!open && b == boot); b++) {
        closed.add(new Incarnation(h.path("host").asText(), b));
      }
      latestClosingIndex = Math.max(latestClosingIndex, h.path("closed_at").asLong());
      if (boot > 1) {
        latestClosingIndex = Math.max(latestClosingIndex, h.path("registered_at").asLong());
      }
    }
    hostsWithDisk =
        inService.stream()
            .filter(ReserveShare.Router::disk)
            .map(ReserveShare.Router::host)
            .collect(Collectors.toUnmodifiableSet());
    budgets.setReserveShare(ReserveShare.of(budgets.self().host(), inService));
    long closedThroughIndex = latestClosingIndex;
    Optional<Long> reportableIndex =
        budgets.withLedger(
            l -> {
              transfers.close(closed, closedThroughIndex);
              return transfers.closedThrough();
            });
    reportableIndex.ifPresent(
        i -> control.submit(new ControlCommand.ReportTransfers(budgets.self(), i)));
  }

  private void requestFromPeers(String workspace, long tokens) {
    List<String> addresses = new ArrayList<>();
    Map<Incarnation, String> live = routers.get();
    List<Incarnation> peers = new ArrayList<>(live.keySet());
    Collections.shuffle(peers);
    // Routers with a disk come first, because they hold the reserve of their zone.
    peers.sort(Comparator.comparing(p -> !hostsWithDisk.contains(p.host())));
    peers.forEach(p -> addresses.add(live.get(p)));
    Body body =
        Body.newBuilder()
            .setTransferRequest(
                TransferRequest.newBuilder().setWorkspace(workspace).setTokens(tokens))
            .build();
    for (String a : addresses.subList(0, Math.min(PEERS_PER_REQUEST, addresses.size()))) {
      transport
          .call(a, body, CALL_TIMEOUT_MILLIS)
          .whenComplete(
              (b, e) -> {
                if (e == null && b.hasTransferOffer() && b.getTransferOffer().getTokens() > 0) {
                  onOfferReply(a, b.getTransferOffer());
                }
              });
    }
  }

  private CompletableFuture<Body> onRequest(Incarnation sender, Body body) {
    TransferRequest r = body.getTransferRequest();
    long transferable = budgets.transferableTokens(r.getWorkspace(), r.getTokens());
    Optional<ControlCommand.TransferAllotment> t =
        sender.boot() == 0
            ? Optional.empty()
            : budgets.withLedger(
                l -> transfers.startTransfer(r.getWorkspace(), transferable, sender));
    if (t.isEmpty() && transferable > 0) {
      // The durable watermark may not cover the transfer yet. The peer will ask again.
      budgets.raiseWatermark();
    }
    t.ifPresent(
        x ->
            logger.atInfo().log(
                "budget: transferred %s tokens of workspace %s to %s",
                x.tokens(), x.workspace(), x.to()));
    return CompletableFuture.completedFuture(
        t.map(TransferService::offer)
            .orElseGet(
                () ->
                    Body.newBuilder()
                        .setTransferOffer(TransferOffer.newBuilder().setWorkspace(r.getWorkspace()))
                        .build()));
  }

  private void onOfferReply(String address, TransferOffer o) {
    if (receive(o)) {
      transport.send(address, Body.newBuilder().setTransferAck(ack(o)).build());
    }
  }

  private CompletableFuture<Body> onOffer(Incarnation sender, Body body) {
    TransferOffer o = body.getTransferOffer();
    if (!sender.host().equals(o.getFromHost()) || !receive(o)) {
      return CompletableFuture.failedFuture(
          new IllegalArgumentException("transfer " + o.getNumber() + " is not for this router"));
    }
    return CompletableFuture.completedFuture(Body.newBuilder().setTransferAck(ack(o)).build());
  }

  private boolean receive(TransferOffer o) {
    ControlCommand.TransferAllotment t =
        new ControlCommand.TransferAllotment(
            new Incarnation(o.getFromHost(), o.getFromBoot()),
            new Incarnation(o.getToHost(), o.getToBoot()),
            o.getWorkspace(),
            o.getNumber(),
            o.getTokens());
    boolean accepted = budgets.withLedger(l -> transfers.receive(t));
    budgets.serveWaiters(o.getWorkspace());
    return accepted;
  }

  private void onAck(TransferAck a) {
    budgets.withLedger(
        l -> {
          transfers.delivered(a.getWorkspace(), a.getNumber());
          return null;
        });
  }

  private void reportNext() {
    List<ControlCommand.TransferAllotment> unreported;
    synchronized (this) {
      unreported = budgets.withLedger(l -> transfers.unreported());
      if (reportPending || unreported.isEmpty()) {
        return;
      }
      reportPending = true;
    }
    ControlCommand.TransferAllotment t = unreported.get(0);
    control
        .submit(t)
        .whenComplete(
            (r, e) -> {
              synchronized (this) {
                reportPending = false;
              }
              if (e == null) {
                if (r instanceof ControlReply.Refused f) {
                  logger.atWarning().log(
                      "budget: control group refused the report of transfer %s: %s",
                      t, f.message());
                }
                budgets.withLedger(
                    l -> {
                      transfers.reported(t);
                      return null;
                    });
                reportNext();
              }
            });
  }

  private static Body offer(ControlCommand.TransferAllotment t) {
    return Body.newBuilder()
        .setTransferOffer(
            TransferOffer.newBuilder()
                .setWorkspace(t.workspace())
                .setNumber(t.number())
                .setTokens(t.tokens())
                .setFromHost(t.from().host())
                .setFromBoot(t.from().boot())
                .setToHost(t.to().host())
                .setToBoot(t.to().boot()))
        .build();
  }

  private static TransferAck ack(TransferOffer o) {
    return TransferAck.newBuilder().setWorkspace(o.getWorkspace()).setNumber(o.getNumber()).build();
  }
}
