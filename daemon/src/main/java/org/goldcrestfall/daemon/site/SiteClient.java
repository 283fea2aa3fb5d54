package org.goldcrestfall.daemon.site;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.InvalidConfigurationException;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamRegistry;
import org.goldcrestfall.core.site.DaemonView;
import org.goldcrestfall.core.site.EvacuatedZones;
import org.goldcrestfall.core.site.SiteDaemon;
import org.goldcrestfall.core.warmup.RouterPosition;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.SiteUpdate;
import org.goldcrestfall.wire.generated.SiteWatch;

/**
 * A router's client of the control daemons. It watches two control daemons, in different
 * availability zones if possible, and switches to another one if one does not answer or has no
 * leader. While none can be reached, the last known state stays in force. Confined to one event
 * loop.
 */
public final class SiteClient {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time after which a control daemon answers a watch even if nothing has changed. */
  private static final int WATCH_WAIT_MILLIS = 1_000;

  /** Time added to the wait for the answer before a watch counts as failed. */
  private static final int ANSWER_MARGIN_MILLIS = 500;

  /** Delay after a failure before the next control daemon is watched. */
  private static final long RETRY_DELAY_MILLIS = 150;

  private static final int WATCHER_COUNT = 2;

  private final DaemonEntry self;
  private final Supplier<List<String>> seeds;
  private final PeerTransport transport;
  private final ConfigurationDecoder decoder;
  private final EventLoop loop;
  private final MillisClock clock;
  private final SiteListener listener;
  private final UpstreamRegistry registry = new UpstreamRegistry();
  private final DaemonView daemons = new DaemonView(WATCHER_COUNT);
  private final List<Watcher> watchers = new ArrayList<>();
  private long configurationIndex;
  private long quarantineIndex;
  private long evacuationIndex;
  private RouterPosition position = RouterPosition.NONE;
  private long lastContactAtMillis = Long.MIN_VALUE / 2;
  private boolean connected;

  /** Creates the client; {@link #start} starts to watch. */
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

  /** Starts to watch control daemons. */
  public void start() {
    for (int i = 0; i < WATCHER_COUNT; i++) {
      Watcher w = new Watcher(i);
      watchers.add(w);
      loop.execute(w::sendWatch);
    }
  }

  /** Returns the known peer addresses of the control daemons, or the seeds if none is known. */
  public List<String> controlAddresses() {
    return daemons.controls().isEmpty() ? seeds.get() : daemons.controls().keySet().asList();
  }

  /** Returns the peer address of a control daemon that is being watched, or an empty string. */
  public String watchedControl() {
    for (Watcher w : watchers) {
      if (w.answered) {
        return w.address;
      }
    }
    return "";
  }

  /** Returns the peer address of this router. */
  public String address() {
    return self.getAddress();
  }

  /** Returns the peer addresses of the known routers of the site, except this one. */
  public List<String> otherRouters() {
    return daemons.routers().keySet().stream().filter(a -> !a.equals(self.getAddress())).toList();
  }

  /** Returns the peer addresses of all known routers; the same set until they change. */
  public ImmutableSet<String> routerAddresses() {
    return daemons.routers().keySet();
  }

  /** Returns the number of known routers of the site, including this one; at least 1. */
  public int routerCount() {
    return Math.max(1, daemons.routers().size());
  }

  /** Returns the name of the host of this router. */
  public String host() {
    return self.getHost();
  }

  /** Returns the place of this router among all that have registered. */
  public RouterPosition position() {
    return position;
  }

  /** Returns the time since a control daemon that has a leader last answered. */
  public long contactAgeMillis() {
    return clock.nowMillis() - lastContactAtMillis;
  }

  /** Watches one control daemon at a time. */
  private final class Watcher {

    private final int index;
    private String address = "";
    private long registryEpoch;
    private long registryChange;
    private long daemonsChange;
    private boolean answered;

    Watcher(int index) {
      this.index = index;
    }

    void sendWatch() {
      if (address.isEmpty()) {
        address = chooseAddress();
        registryEpoch = 0;
        registryChange = 0;
        daemonsChange = 0;
      }
      SiteWatch watch =
          SiteWatch.newBuilder()
              .setRouter(self)
              .setConfigurationIndex(configurationIndex)
              .setQuarantineIndex(quarantineIndex)
              .setEvacuationIndex(evacuationIndex)
              .setRegistryEpoch(registryEpoch)
              .setRegistryChange(registryChange)
              .setDaemonsChange(daemonsChange)
              .setWaitMillis(WATCH_WAIT_MILLIS)
              .build();
      transport
          .call(
              address,
              Body.newBuilder().setSiteWatch(watch).build(),
              WATCH_WAIT_MILLIS + ANSWER_MARGIN_MILLIS)
          .whenCompleteAsync(this::onAnswer, loop);
    }

    private void onAnswer(Body body, Throwable failure) {
      if (failure == null && body.hasSiteUpdate()) {
        SiteUpdate update = body.getSiteUpdate();
        registryEpoch = update.getRegistryEpoch();
        registryChange = update.getRegistryChange();
        daemonsChange = update.getDaemonsChange();
        applySafely(update);
        if (update.getHasLeader()) {
          answered = true;
          updateContact(true, address);
          sendWatch();
          return;
        }
      }
      if (contactAgeMillis() > WATCH_WAIT_MILLIS * 2) {
        updateContact(false, address);
      }
      address = "";
      answered = false;
      loop.schedule(this::sendWatch, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Applies an update; an entry that cannot be applied must not end the watch. */
    private void applySafely(SiteUpdate update) {
      try {
        daemons.apply(index, SiteCodec.decodeDaemons(update));
        applyUpdate(update);
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log(
            "site: could not apply an update of control daemon %s", address);
      }
    }

    private String chooseAddress() {
      List<String> unwatched = new ArrayList<>();
      List<String> preferred = new ArrayList<>();
      boolean prefersOwnZone = index == 0;
      for (String a : candidates()) {
        if (watchers.stream().anyMatch(w -> w.address.equals(a))) {
          continue;
        }
        unwatched.add(a);
        SiteDaemon known = daemons.controls().get(a);
        if (known != null && known.zone().equals(self.getZone()) == prefersOwnZone) {
          preferred.add(a);
        }
      }
      // The preferred zones may be unreachable, so half of the attempts ignore the zone.
      boolean ignoreZone = preferred.isEmpty() || ThreadLocalRandom.current().nextBoolean();
      List<String> eligible = ignoreZone ? unwatched : preferred;
      return eligible.isEmpty()
          ? candidates().get(0)
          : eligible.get(ThreadLocalRandom.current().nextInt(eligible.size()));
    }

    private List<String> candidates() {
      List<String> all = new ArrayList<>(daemons.controls().keySet());
      for (String seed : seeds.get()) {
        if (!daemons.controls().containsKey(seed)) {
          all.add(seed);
        }
      }
      return all;
    }
  }

  private void updateContact(boolean reached, String address) {
    if (reached) {
      lastContactAtMillis = clock.nowMillis();
    }
    if (reached != connected) {
      connected = reached;
      logger.atInfo().log(
          reached
              ? "site: control daemon %s answers"
              : "site: no control daemon answers; last tried %s",
          address);
    }
  }

  private void applyUpdate(SiteUpdate update) {
    long now = clock.nowMillis();
    for (var e : update.getUpstreamsList()) {
      UpstreamEntry entry = SiteCodec.decodeEntry(e);
      long before = registry.lastChangeNumber();
      if (registry.merge(entry, now)) {
        registry.changesAfter(before, now).forEach(this::publishSafely);
      }
    }
    registry.expire(now);
    // The configuration is applied last, since the router is ready once it has one.
    if (update.getQuarantineIndex() > quarantineIndex) {
      quarantineIndex = update.getQuarantineIndex();
      listener.quarantineChanged(
          QuarantineCodec.decodeSuspects(quarantineIndex, update.getSuspectPartsList()));
    }
    if (update.getRouterNumber() > 0) {
      position =
          position.merge(
              new RouterPosition(update.getRouterNumber() - 1, update.getRegisteredRouters()));
    }
    if (update.getEvacuationIndex() > evacuationIndex) {
      evacuationIndex = update.getEvacuationIndex();
      listener.evacuationChanged(
          new EvacuatedZones(evacuationIndex, ImmutableSet.copyOf(update.getEvacuatedZonesList())));
    }
    if (update.getConfigurationIndex() > configurationIndex) {
      applyConfiguration(update);
    }
  }

  /** Passes on an entry; one that cannot be applied must not keep the others back. */
  private void publishSafely(UpstreamEntry entry) {
    try {
      listener.upstreamChanged(entry);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("site: could not apply the entry %s", entry);
    }
  }

  private void applyConfiguration(SiteUpdate update) {
    byte[] document = Compression.decompress(update.getConfiguration().toByteArray());
    try {
      GatewayConfiguration next = decoder.decode(document);
      configurationIndex = update.getConfigurationIndex();
      logger.atInfo().log(
          "site: applying configuration version %s of index %s",
          next.version(), configurationIndex);
      listener.configurationChanged(next);
    } catch (InvalidConfigurationException e) {
      // Control daemons reject such a configuration, so another release must have accepted it.
      logger.atSevere().log("site: received an invalid configuration: %s", e.getMessage());
    }
  }
}
