package org.goldcrestfall.daemon.site;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.dispatch.CachedPart;
import org.goldcrestfall.core.dispatch.LoadCollector;
import org.goldcrestfall.core.dispatch.LoadCollector.PartsUpdate;
import org.goldcrestfall.core.dispatch.RequestLoad;
import org.goldcrestfall.daemon.PeriodicTasks;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.LoadNotice;
import org.goldcrestfall.wire.generated.LoadReport;
import org.goldcrestfall.wire.generated.LoadSums;

/**
 * A control daemon's side of the exchange of load: it answers the reports of routers with the load
 * of all others, and passes the sums of its routers to the other control daemons. Confined to one
 * event loop.
 */
public final class LoadExchange {

  /** Bounds of the interval of notices to other control daemons while routers report changes. */
  private static final long MIN_NOTICE_INTERVAL_MILLIS = 10;

  private static final long MAX_NOTICE_INTERVAL_MILLIS = 50;

  /** Time for each router that reports here, which bounds the notices of large fleets. */
  private static final long NOTICE_MILLIS_PER_ROUTER = 2;

  private final String self;
  private final Supplier<List<String>> otherControls;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final LoadCollector collector = new LoadCollector();
  private final long epoch = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private boolean noticeScheduled;

  /**
   * Creates the exchange; {@link #start} makes it accept reports.
   *
   * @param self the peer address of this control daemon
   * @param otherControls supplies the peer addresses of the other control daemons
   */
  public LoadExchange(
      String self,
      Supplier<List<String>> otherControls,
      PeerTransport transport,
      EventLoop loop,
      MillisClock clock) {
    this.self = self;
    this.otherControls = otherControls;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
  }

  /** Registers the message handlers and starts the periodic notices. */
  public void start() {
    transport.registerHandler(
        KindCase.LOAD_REPORT,
        (sender, body) ->
            CompletableFuture.supplyAsync(() -> onReport(body.getLoadReport()), loop));
    transport.registerHandler(
        KindCase.LOAD_NOTICE,
        (sender, body) -> {
          loop.execute(() -> onNotice(body.getLoadNotice()));
          return CompletableFuture.completedFuture(null);
        });
    PeriodicTasks.schedule(loop, LoadCollector.REPORT_INTERVAL_MILLIS, this::repeatNotice);
  }

  private Body onReport(LoadReport report) {
    long now = clock.nowMillis();
    collector.expire(now);
    collector.updateRouter(
        report.getRouter(),
        LoadCodec.decodeLoads(report.getSharesList()),
        LoadCodec.decodeParts(report.getSharesList()),
        now);
    if (!noticeScheduled) {
      noticeScheduled = true;
      loop.schedule(this::sendNotice, noticeIntervalMillis(), TimeUnit.MILLISECONDS);
    }
    long known = report.getEpoch() == epoch ? report.getPartsNumber() : 0;
    PartsUpdate parts = collector.partsAfter(known, report.getRouter());
    LoadSums sums =
        LoadSums.newBuilder()
            .addAllShares(
                LoadCodec.encode(collector.loadOfOthers(report.getRouter()), parts.parts()))
            .setEpoch(epoch)
            .setPartsNumber(parts.lastNumber())
            .build();
    return Body.newBuilder().setLoadSums(sums).build();
  }

  private long noticeIntervalMillis() {
    long millis = NOTICE_MILLIS_PER_ROUTER * collector.routerCount();
    return Math.max(MIN_NOTICE_INTERVAL_MILLIS, Math.min(MAX_NOTICE_INTERVAL_MILLIS, millis));
  }

  private void onNotice(LoadNotice notice) {
    collector.updateControl(
        notice.getSender(),
        LoadCodec.decodeLoads(notice.getSharesList()),
        LoadCodec.decodeParts(notice.getSharesList()),
        clock.nowMillis());
  }

  private void repeatNotice() {
    collector.expire(clock.nowMillis());
    if (!noticeScheduled && !collector.routerSums().isEmpty()) {
      sendNotice();
    }
  }

  private void sendNotice() {
    noticeScheduled = false;
    Map<String, RequestLoad> loads = collector.routerSums();
    List<CachedPart> parts = collector.takeUnpublishedParts();
    LoadNotice notice =
        LoadNotice.newBuilder()
            .setSender(self)
            .addAllShares(LoadCodec.encode(loads, parts))
            .build();
    Body body = Body.newBuilder().setLoadNotice(notice).build();
    otherControls.get().forEach(a -> transport.send(a, body));
  }
}
