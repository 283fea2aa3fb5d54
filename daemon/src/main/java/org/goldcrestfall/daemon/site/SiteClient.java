package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.InvalidConfigurationException;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamRegistry;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.SiteUpdate;
import org.goldcrestfall.wire.generated.SiteWatch;

/**
 * The router's view of its site. It watches two control daemons, of different availability zones
 * where it can, and moves on from one that does not answer or has no leader. What it has learned
 * stays in force while it reaches none. Confined to one event loop.
 */
public final class SiteClient {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a control daemon holds a watch without news; a longer silence is a failure. */
  private static final int WAIT_MILLIS = 1_000;

  private static final int ANSWER_SLACK_MILLIS = 500;

  /** Pause before the next control daemon is asked after a failure. */
  private static final long RETRY_MILLIS = 150;

  private static final int WATCHERS = 2;

  private final DaemonEntry self;
  private final Supplier<List<String>> seeds;
  private final PeerTransport transport;
  private final ConfigurationDecoder decoder;
  private final EventLoop loop;
  private final MillisClock clock;
  private final SiteListener listener;
  private final UpstreamRegistry registry = new UpstreamRegistry();
  private final Map<String, DaemonEntry> controls = new HashMap<>();
  private final Map<String, DaemonEntry> routers = new HashMap<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private long configurationIndex;
  private long heardAt = Long.MIN_VALUE / 2;
  private boolean connected;

  /** Creates the view; {@link #start} begins to watch. */
  public SiteClient(
      DaemonEntry self,
      Supplier<List<String>> seeds,
      PeerTransport transport,
      ConfigurationDecoder decoder,
      EventLoop loop,
      MillisClock clock,
      SiteListener listener) {
    this.self = self;
    this.seeds = seeds;
    this.transport = transport;
    this.decoder = decoder;
    this.loop = loop;
    this.clock = clock;
    this.listener = listener;
  }

  /** Begins to watch. */
  public void start() {
    for (int i = 0; i < WATCHERS; i++) {
      Watcher w = new Watcher();
      watchers.add(w);
      loop.execute(w::ask);
    }
  }

  /** Returns the peer addresses of the control daemons as far as known; at least one. */
  public List<String> controlAddresses() {
    return controls.isEmpty() ? seeds.get() : List.copyOf(controls.keySet());
  }

  /** Returns the peer address of this router. */
  public String address() {
    return self.getAddress();
  }

  /** Returns the other routers. */
  public List<DaemonEntry> otherRouters() {
    return routers.values().stream()
        .filter(r -> !r.getAddress().equals(self.getAddress()))
        .toList();
  }

  /** Returns the number of routers, this one included. */
  public int routerCount() {
    return Math.max(1, routers.size());
  }

  /** Returns the time since a control daemon with a leader last answered. */
  public long contactAgeMillis() {
    return clock.nowMillis() - heardAt;
  }

  /** Watches one control daemon at a time. */
  private final class Watcher {

    private String address = "";
    private long registryEpoch;
    private long registryChange;

    void ask() {
      if (address.isEmpty()) {
        address = choose();
        registryEpoch = 0;
        registryChange = 0;
      }
      SiteWatch watch =
          SiteWatch.newBuilder()
              .setRouter(self)
              .setConfigurationIndex(configurationIndex)
              .setRegistryEpoch(registryEpoch)
              .setRegistryChange(registryChange)
              .setWaitMillis(WAIT_MILLIS)
              .build();
      transport
          .call(
              address,
              Body.newBuilder().setSiteWatch(watch).build(),
              WAIT_MILLIS + ANSWER_SLACK_MILLIS)
          .whenCompleteAsync(this::answered, loop);
    }

    private void answered(Body body, Throwable failure) {
      if (failure == null && body.hasSiteUpdate()) {
        SiteUpdate update = body.getSiteUpdate();
        registryEpoch = update.getRegistryEpoch();
        registryChange = update.getRegistryChange();
        take(update);
        if (update.getHasLeader()) {
          noteContact(true, address);
          ask();
          return;
        }
      }
      if (contactAgeMillis() > WAIT_MILLIS * 2) {
        noteContact(false, address);
      }
      address = "";
      loop.schedule(this::ask, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private String choose() {
      List<String> others = new ArrayList<>();
      List<String> preferred = new ArrayList<>();
      boolean first = watchers.get(0) == this;
      for (String a : candidates()) {
        if (watchers.stream().anyMatch(w -> w.address.equals(a))) {
          continue;
        }
        others.add(a);
        DaemonEntry known = controls.get(a);
        if (known != null && known.getZone().equals(self.getZone()) == first) {
          preferred.add(a);
        }
      }
      // The preferred zone may be out of reach, so any control daemon is tried as often.
      boolean anyOne = preferred.isEmpty() || ThreadLocalRandom.current().nextBoolean();
      List<String> from = anyOne ? others : preferred;
      return from.isEmpty()
          ? candidates().get(0)
          : from.get(ThreadLocalRandom.current().nextInt(from.size()));
    }

    private List<String> candidates() {
      List<String> all = new ArrayList<>(controls.keySet());
      for (String seed : seeds.get()) {
        if (!controls.containsKey(seed)) {
          all.add(seed);
        }
      }
      return all;
    }
  }

  private void noteContact(boolean reached, String address) {
    if (reached) {
      heardAt = clock.nowMillis();
    }
    if (reached != connected) {
      connected = reached;
      logger.atInfo().log(
          reached ? "site: control daemon %s answers" : "site: no control daemon answers, last %s",
          address);
    }
  }

  private void take(SiteUpdate update) {
    if (!update.getControlsList().isEmpty()) {
      controls.clear();
      update.getControlsList().forEach(c -> controls.put(c.getAddress(), c));
    }
    if (!update.getRoutersList().isEmpty()) {
      routers.clear();
      update.getRoutersList().forEach(r -> routers.put(r.getAddress(), r));
    }
    long now = clock.nowMillis();
    for (var e : update.getUpstreamsList()) {
      UpstreamEntry entry = SiteCodec.decodeEntry(e);
      long before = registry.change();
      if (registry.merge(entry, now)) {
        registry.changesAfter(before).forEach(listener::upstreamChanged);
      }
    }
    registry.expire(now);
    if (update.getConfigurationIndex() > configurationIndex) {
      takeConfiguration(update);
    }
  }

  private void takeConfiguration(SiteUpdate update) {
    byte[] document = Compression.decompress(update.getConfiguration().toByteArray());
    try {
      GatewayConfiguration next = decoder.decode(document);
      configurationIndex = update.getConfigurationIndex();
      logger.atInfo().log(
          "site: configuration version %s at index %s", next.version(), configurationIndex);
      listener.configurationChanged(next);
    } catch (InvalidConfigurationException e) {
      // Only a control daemon of another release can have accepted it.
      logger.atSevere().log("site: configuration cannot be used: %s", e.getMessage());
    }
  }
}
