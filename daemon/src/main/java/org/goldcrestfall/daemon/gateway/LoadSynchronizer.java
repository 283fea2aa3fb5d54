package org.goldcrestfall.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.RendezvousHash;
import org.goldcrestfall.core.dispatch.PeerLoad;
import org.goldcrestfall.core.dispatch.PromptPart;
import org.goldcrestfall.core.dispatch.UpstreamLoad;
import org.goldcrestfall.daemon.site.SiteClient;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.LoadNotice;
import org.goldcrestfall.wire.generated.SentPart;
import org.goldcrestfall.wire.generated.UpstreamShare;

/**
 * Sends the load that this router puts on engines to other routers, and applies the notices that
 * they send. The receivers thereby know the load of an engine before the engine itself reports it,
 * and know which prompt parts it has processed. Confined to the router's event loop.
 */
final class LoadSynchronizer {

  /** Changes within this time are sent in one notice. */
  private static final long BATCH_DELAY_MILLIS = 10;

  /** Maximum number of other routers to which a router sends its notices. */
  private static final int MAX_PEERS = 24;

  private final SiteClient siteClient;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final UpstreamConnections upstreams;
  private final String ownAddress;
  private final PeerLoad otherRoutersLoad = new PeerLoad();
  private final Set<String> changedUpstreams = new HashSet<>();
  private final Map<String, PeerLoad.RequestLoad> publishedShares = new HashMap<>();
  private boolean publishScheduled;

  LoadSynchronizer(
      SiteClient siteClient,
      PeerTransport transport,
      EventLoop loop,
      UpstreamConnections upstreams) {
    this.siteClient = siteClient;
    this.transport = transport;
    this.loop = loop;
    this.upstreams = upstreams;
    ownAddress = siteClient.address();
    transport.registerHandler(
        KindCase.LOAD_NOTICE,
        (sender, body) -> {
          loop.execute(() -> onNotice(body.getLoadNotice()));
          return CompletableFuture.completedFuture(null);
        });
    loop.scheduleWithFixedDelay(
        this::republish,
        PeerLoad.REPORT_INTERVAL_MILLIS,
        PeerLoad.REPORT_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Schedules a notice about an upstream at which this router's load has changed. */
  void markChanged(String upstream) {
    changedUpstreams.add(upstream);
    if (!publishScheduled) {
      publishScheduled = true;
      loop.schedule(this::publishChanges, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void publishChanges() {
    publishScheduled = false;
    LoadNotice.Builder notice = LoadNotice.newBuilder().setRouter(ownAddress);
    for (String id : changedUpstreams) {
      Upstream u = upstreams.find(id);
      PeerLoad.RequestLoad share =
          u == null
              ? new PeerLoad.RequestLoad(0, 0)
              : new PeerLoad.RequestLoad(u.load().running(), u.load().ownPromptBacklog());
      if (share.running() == 0) {
        publishedShares.remove(id);
      } else {
        publishedShares.put(id, share);
      }
      UpstreamShare.Builder encoded = encode(id, share);
      if (u != null) {
        u.load().takeUnpublishedParts().forEach(p -> encoded.addParts(encode(p)));
      }
      notice.addShares(encoded);
    }
    changedUpstreams.clear();
    send(notice);
  }

  private void republish() {
    long now = upstreams.now();
    upstreams.all().forEach(u -> applyOtherRoutersLoad(u.load(), now));
    if (!publishedShares.isEmpty()) {
      LoadNotice.Builder notice = LoadNotice.newBuilder().setRouter(ownAddress);
      publishedShares.forEach((id, share) -> notice.addShares(encode(id, share)));
      send(notice);
    }
  }

  private static UpstreamShare.Builder encode(String id, PeerLoad.RequestLoad share) {
    return UpstreamShare.newBuilder()
        .setUpstream(id)
        .setRunning(share.running())
        .setBacklog(share.backlog());
  }

  private static SentPart encode(PromptPart p) {
    return SentPart.newBuilder().setId(p.id()).setTokens(p.tokens()).build();
  }

  private void send(LoadNotice.Builder notice) {
    Body body = Body.newBuilder().setLoadNotice(notice).build();
    List<DaemonEntry> others =
        RendezvousHash.subset(
            ownAddress, siteClient.otherRouters(), DaemonEntry::getAddress, MAX_PEERS);
    others.forEach(r -> transport.send(r.getAddress(), body));
  }

  private void onNotice(LoadNotice notice) {
    long now = upstreams.now();
    for (UpstreamShare s : notice.getSharesList()) {
      otherRoutersLoad.update(
          notice.getRouter(),
          s.getUpstream(),
          new PeerLoad.RequestLoad(s.getRunning(), s.getBacklog()),
          now);
      Upstream u = upstreams.find(s.getUpstream());
      if (u == null) {
        otherRoutersLoad.remove(s.getUpstream());
      } else {
        applyOtherRoutersLoad(u.load(), now);
        u.load()
            .onPartsSentByOtherRouter(
                s.getPartsList().stream()
                    .map(p -> new PromptPart(p.getId(), p.getTokens()))
                    .toList());
      }
    }
  }

  private void applyOtherRoutersLoad(UpstreamLoad load, long now) {
    PeerLoad.RequestLoad sum = otherRoutersLoad.total(load.id(), now);
    load.setOtherRoutersLoad(sum.running(), sum.backlog());
  }
}
