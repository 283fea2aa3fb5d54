package org.goldcrestfall.daemon.gateway;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.RendezvousHash;
import org.goldcrestfall.core.dispatch.CachedPart;
import org.goldcrestfall.core.dispatch.LoadCollector;
import org.goldcrestfall.core.dispatch.RequestLoad;
import org.goldcrestfall.daemon.site.LoadCodec;
import org.goldcrestfall.daemon.site.SiteClient;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.LoadNotice;
import org.goldcrestfall.wire.generated.LoadReport;
import org.goldcrestfall.wire.generated.LoadSums;
import org.goldcrestfall.wire.generated.UpstreamShare;

/**
 * Exchanges the load of engines with the other routers. In a small fleet, a router sends its load
 * to all others. In a large one, it reports its load to a control daemon, which answers with the
 * load of all others; while no control daemon answers, it sends its load to some of the others. A
 * router thereby knows the load of an engine before the engine itself reports it, and knows which
 * prompt parts it has processed. Confined to the router's event loop.
 */
final class LoadSynchronizer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum number of other routers to which a router sends its load. */
  private static final int MAX_PEERS = 24;

  /** Bounds of the time within which changes are sent in one message. */
  private static final long MIN_BATCH_DELAY_MILLIS = 10;

  private static final long MAX_BATCH_DELAY_MILLIS = 50;

  /** Routers for each millisecond of that time, which bounds the reports of large fleets. */
  private static final int ROUTERS_PER_DELAY_MILLI = 2;

  /**
   * Interval of the reports while this router has open requests that do not change its load, as a
   * multiple of the time for changes.
   */
  private static final int BUSY_INTERVAL_RATIO = 3;

  private static final long REPORT_TIMEOUT_MILLIS = 400;

  /** Age at which the load that a control daemon has answered is no longer used. */
  private static final long SUMS_EXPIRY_MILLIS = 700;

  private final SiteClient siteClient;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final UpstreamConnections upstreams;
  private final LoadCollector receivedNotices = new LoadCollector();
  private Map<String, RequestLoad> sums = Map.of();
  private long sumsAtMillis = Long.MIN_VALUE / 2;
  private ImmutableSet<String> routers = ImmutableSet.of();
  private List<String> peers = List.of();
  private String control = "";
  private long epoch;
  private long partsNumber;
  private long reportAtMillis = Long.MAX_VALUE;
  private boolean reporting;
  private boolean changed;

  LoadSynchronizer(
      SiteClient siteClient,
      PeerTransport transport,
      EventLoop loop,
      UpstreamConnections upstreams) {
    this.siteClient = siteClient;
    this.transport = transport;
    this.loop = loop;
    this.upstreams = upstreams;
    transport.registerHandler(
        KindCase.LOAD_NOTICE,
        (sender, body) -> {
          loop.execute(() -> onNotice(body.getLoadNotice()));
          return CompletableFuture.completedFuture(null);
        });
    scheduleReport(LoadCollector.REPORT_INTERVAL_MILLIS);
  }

  /** Schedules a message after this router's load on an upstream has changed. */
  void markChanged() {
    changed = true;
    scheduleReport(batchDelayMillis());
  }

  private long batchDelayMillis() {
    return Math.max(
        MIN_BATCH_DELAY_MILLIS,
        Math.min(MAX_BATCH_DELAY_MILLIS, siteClient.routerCount() / ROUTERS_PER_DELAY_MILLI));
  }

  /** Schedules the next report, unless one is in flight or due earlier. */
  private void scheduleReport(long delayMillis) {
    long atMillis = upstreams.now() + delayMillis;
    if (reporting || reportAtMillis <= atMillis) {
      return;
    }
    reportAtMillis = atMillis;
    loop.schedule(() -> report(atMillis), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void report(long scheduledMillis) {
    if (reportAtMillis != scheduledMillis) {
      // An earlier report has replaced this one.
      return;
    }
    reportAtMillis = Long.MAX_VALUE;
    receivedNotices.expire(upstreams.now());
    updatePeers();
    Map<String, RequestLoad> loads = new HashMap<>();
    List<CachedPart> parts = new ArrayList<>();
    for (Upstream u : upstreams.all()) {
      String id = u.entry().id();
      if (u.load().running() > 0) {
        loads.put(id, u.load().ownLoad());
      }
      u.load().takeUnpublishedParts().forEach(p -> parts.add(new CachedPart(id, p)));
    }
    List<UpstreamShare> shares = LoadCodec.encode(loads, parts);
    if (!usesSums() && (changed || !loads.isEmpty())) {
      sendNotice(shares);
    }
    applyLoadOfOthers();
    changed = false;
    String watched = isLargeFleet() ? siteClient.watchedControl() : "";
    if (watched.isEmpty()) {
      scheduleReport(LoadCollector.REPORT_INTERVAL_MILLIS);
    } else {
      sendReport(watched, shares, !loads.isEmpty());
    }
  }

  private boolean isLargeFleet() {
    return siteClient.routerCount() > MAX_PEERS + 1;
  }

  /** Returns whether the load of others is known from a control daemon. */
  private boolean usesSums() {
    return isLargeFleet() && upstreams.now() - sumsAtMillis <= SUMS_EXPIRY_MILLIS;
  }

  private void updatePeers() {
    if (routers != siteClient.routerAddresses()) {
      routers = siteClient.routerAddresses();
      peers =
          RendezvousHash.subset(siteClient.address(), siteClient.otherRouters(), a -> a, MAX_PEERS);
    }
  }

  private void sendNotice(List<UpstreamShare> shares) {
    LoadNotice notice =
        LoadNotice.newBuilder().setSender(siteClient.address()).addAllShares(shares).build();
    Body body = Body.newBuilder().setLoadNotice(notice).build();
    peers.forEach(address -> transport.send(address, body));
  }

  private void onNotice(LoadNotice notice) {
    receivedNotices.updateRouter(
        notice.getSender(),
        LoadCodec.decodeLoads(notice.getSharesList()),
        List.of(),
        upstreams.now());
    addParts(notice.getSharesList());
    applyLoadOfOthers();
  }

  private void sendReport(String watched, List<UpstreamShare> shares, boolean busy) {
    if (!watched.equals(control)) {
      logger.atInfo().log("load: reporting to control daemon %s", watched);
      control = watched;
    }
    LoadReport report =
        LoadReport.newBuilder()
            .setRouter(siteClient.address())
            .addAllShares(shares)
            .setEpoch(epoch)
            .setPartsNumber(partsNumber)
            .build();
    reporting = true;
    transport
        .call(control, Body.newBuilder().setLoadReport(report).build(), REPORT_TIMEOUT_MILLIS)
        .whenCompleteAsync((body, failure) -> onAnswer(body, failure, busy), loop);
  }

  private void onAnswer(Body body, Throwable failure, boolean busy) {
    reporting = false;
    if (failure == null && body.hasLoadSums()) {
      LoadSums answer = body.getLoadSums();
      epoch = answer.getEpoch();
      partsNumber = answer.getPartsNumber();
      sumsAtMillis = upstreams.now();
      sums = LoadCodec.decodeLoads(answer.getSharesList());
      addParts(answer.getSharesList());
      applyLoadOfOthers();
    } else {
      logger.atInfo().atMostEvery(2, TimeUnit.SECONDS).log(
          "load: control daemon %s did not answer a report: %s", control, failure);
    }
    if (changed) {
      scheduleReport(batchDelayMillis());
    } else {
      scheduleReport(
          busy ? BUSY_INTERVAL_RATIO * batchDelayMillis() : LoadCollector.REPORT_INTERVAL_MILLIS);
    }
  }

  private void applyLoadOfOthers() {
    Map<String, RequestLoad> others =
        usesSums() ? sums : receivedNotices.loadOfOthers(siteClient.address());
    for (Upstream u : upstreams.all()) {
      u.load().setOtherRoutersLoad(others.getOrDefault(u.entry().id(), RequestLoad.NONE));
    }
  }

  private void addParts(List<UpstreamShare> shares) {
    for (CachedPart p : LoadCodec.decodeParts(shares)) {
      Upstream u = upstreams.find(p.upstream());
      if (u != null) {
        u.load().onPartSentByOtherRouter(p.part());
      }
    }
  }
}
