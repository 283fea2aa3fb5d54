package org.goldcrestfall.daemon.site;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.consensus.Member;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.InvalidConfigurationException;
import org.goldcrestfall.core.gateway.WorkspaceSettings;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamRegistry;
import org.goldcrestfall.core.registry.UpstreamState;
import org.goldcrestfall.core.site.DaemonDirectory;
import org.goldcrestfall.core.site.EvacuatedZones;
import org.goldcrestfall.core.site.ReplayProgress;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteDaemon;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.core.warmup.RouterPosition;
import org.goldcrestfall.daemon.PeriodicTasks;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.daemon.control.ControlReplica;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.SiteUpdate;
import org.goldcrestfall.wire.generated.SiteWatch;
import org.goldcrestfall.wire.generated.UpstreamNotice;

/**
 * A control daemon's service for its site. It accepts configurations and announcements of
 * upstreams, forwards the announcements to the other control daemons, and answers the watches of
 * routers. Confined to one event loop.
 */
public final class SiteControl {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Operators try the next daemon after 1 s, so a longer wait has no use. */
  private static final long COMMIT_TIMEOUT_MILLIS = 900;

  /** Timeout of a call to another control daemon; an upstream waits 1 s for the whole answer. */
  private static final long NOTICE_TIMEOUT_MILLIS = 400;

  /** Interval of the notices that list this daemon and the routers that watch it. */
  private static final long NOTICE_INTERVAL_MILLIS = 1_000;

  /** Limit of the wait time that a router requests for its watch. */
  private static final int MAX_WATCH_WAIT_MILLIS = 2_000;

  /**
   * Delay of the news of upstreams that are ready. At a start of the site, all upstreams announce
   * themselves within about a second, and each answer to a watch costs a router the more, the less
   * of its code is compiled yet.
   */
  private static final long READY_NEWS_DELAY_MILLIS = 60;

  /** Delay between attempts to query the index of the newest configuration after a start. */
  private static final long CATCH_UP_RETRY_MILLIS = 100;

  private static final class PendingWatch {
    final SiteWatch watch;
    final CompletableFuture<Body> reply = new CompletableFuture<>();
    ScheduledFuture<?> timer;

    PendingWatch(SiteWatch watch) {
      this.watch = watch;
    }
  }

  private final DaemonEntry self;
  private final ControlReplica replica;
  private final ControlClient controlClient;
  private final SiteStateMachine machine;
  private final ConfigurationDecoder decoder;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final UpstreamRegistry registry = new UpstreamRegistry();
  private final long registryEpoch = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private final ReplayProgress replayProgress = new ReplayProgress();
  private final List<PendingWatch> watches = new ArrayList<>();
  private final DaemonDirectory daemons = new DaemonDirectory();
  private final DaemonDirectory watchingRouters = new DaemonDirectory();
  private boolean registryCopied;
  private boolean answerScheduled;

  /** Creates the service; {@link #start} makes it accept calls. */
  public SiteControl(
      DaemonEntry self,
      ControlReplica replica,
      SiteStateMachine machine,
      ConfigurationDecoder decoder,
      PeerTransport transport,
      EventLoop loop,
      MillisClock clock) {
    this.self = self;
    this.replica = replica;
    this.machine = machine;
    this.decoder = decoder;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    controlClient = new ControlClient(this::memberAddresses, transport, clock, replica);
  }

  /** Registers the message handlers and starts to exchange notices. */
  public void start() {
    machine.onChange(() -> loop.execute(this::answerWatches));
    transport.registerHandler(
        KindCase.SITE_WATCH, (sender, body) -> runOnLoop(() -> handleWatch(sender, body)));
    transport.registerHandler(
        KindCase.UPSTREAM_NOTICE,
        (sender, body) -> runOnLoop(() -> handleNotice(body.getUpstreamNotice())));
    loop.execute(this::catchUp);
    PeriodicTasks.schedule(loop, 0, NOTICE_INTERVAL_MILLIS, this::tick);
  }

  private CompletableFuture<Body> runOnLoop(
      java.util.function.Supplier<CompletableFuture<Body>> call) {
    if (loop.inEventLoop()) {
      return call.get();
    }
    return CompletableFuture.supplyAsync(call, loop).thenCompose(f -> f);
  }

  private List<String> memberAddresses() {
    List<String> out =
        new ArrayList<>(replica.status().members().all().stream().map(Member::address).toList());
    if (out.isEmpty()) {
      out.add(self.getAddress());
    }
    return out;
  }

  /** Returns the peer addresses of the other control daemons. */
  public List<String> otherMembers() {
    List<String> out = memberAddresses();
    out.remove(self.getAddress());
    return out;
  }

  /**
   * Puts a configuration in force if its version is higher than the stored one. Completes with the
   * version of the document once the group has committed the command. Fails with {@link
   * InvalidConfigurationException} if the document is invalid.
   */
  public CompletableFuture<Long> replaceConfiguration(byte[] document) {
    GatewayConfiguration decoded;
    try {
      decoded = decoder.decode(document);
    } catch (InvalidConfigurationException e) {
      logger.atInfo().log("site: rejected an invalid configuration: %s", e.getMessage());
      return CompletableFuture.failedFuture(e);
    }
    ImmutableMap.Builder<String, Long> totals = ImmutableMap.builder();
    for (WorkspaceSettings w : decoded.workspaces()) {
      w.prepaidTokens().ifPresent(t -> totals.put(w.name(), t));
    }
    var command =
        new SiteCommand.PutConfiguration(
            decoded.version(), Compression.compress(document), totals.buildKeepingLast());
    return controlClient
        .submit(SiteCodec.encodeCommand(command), COMMIT_TIMEOUT_MILLIS)
        .thenApply(
            reply -> {
              logger.atInfo().log("site: committed configuration version %s", decoded.version());
              return decoded.version();
            });
  }

  /**
   * Returns the document of the newest configuration; empty if there is none yet. Fails if no
   * leader can confirm it.
   */
  public CompletableFuture<Optional<byte[]>> readConfiguration() {
    return controlClient
        .query(SiteStateMachine.READ_CONFIGURATION_DOCUMENT, COMMIT_TIMEOUT_MILLIS)
        .thenApply(d -> d.length == 0 ? Optional.empty() : Optional.of(Compression.decompress(d)));
  }

  /**
   * Evacuates an availability zone or takes its evacuation back; changes nothing if the zone is in
   * that state already. Completes once the group has committed the command.
   */
  public CompletableFuture<Void> setEvacuation(String zone, boolean evacuated) {
    return controlClient
        .submit(
            SiteCodec.encodeCommand(new SiteCommand.SetEvacuation(zone, evacuated)),
            COMMIT_TIMEOUT_MILLIS)
        .thenAccept(
            reply ->
                logger.atInfo().log(
                    "site: committed the order that zone %s is %s",
                    zone, evacuated ? "evacuated" : "in use"));
  }

  /** Returns the number of evacuated zones. */
  public int evacuatedZoneCount() {
    return machine.evacuatedZones().zones().size();
  }

  /**
   * Merges the announcement of an upstream. The future completes with whether the announcement may
   * be acknowledged. An announcement that makes routers stop using the upstream must first have
   * reached another control daemon, if there is one.
   */
  public CompletableFuture<Boolean> announce(UpstreamEntry entry) {
    UpstreamEntry before = registry.find(entry.id());
    boolean changed = registry.merge(entry, clock.nowMillis());
    if (changed) {
      logger.atInfo().log(
          "site: upstream %s of %s at %s is %s, sequence %s",
          entry.id(), entry.service(), entry.address(), entry.state(), entry.sequence());
    }
    boolean leaving = entry.state() != UpstreamState.READY;
    if (changed && leaving) {
      answerWatches();
    } else if (changed) {
      answerWatchesSoon();
    }
    if (!leaving || before != null && !changed && before.state() != UpstreamState.READY) {
      broadcast(entry);
      return CompletableFuture.completedFuture(true);
    }
    return replicate(entry);
  }

  /**
   * Marks an incarnation of an upstream as departed. The future completes as that of {@link
   * #announce}.
   *
   * @param startedAtMillis the start of the incarnation; empty if it is the known one
   */
  public CompletableFuture<Boolean> markDeparted(String id, OptionalLong startedAtMillis) {
    UpstreamEntry gone = registry.markDeparted(id, startedAtMillis, clock.nowMillis());
    logger.atInfo().log(
        "site: upstream %s that started at %s has departed; it is %s now",
        id, gone.startedAtMillis(), registry.find(id).state());
    answerWatches();
    return replicate(gone);
  }

  private void broadcast(UpstreamEntry entry) {
    Body body = newNotice(List.of(entry));
    otherMembers().forEach(a -> transport.send(a, body));
  }

  /** Sends an entry to all other control daemons and waits until one of them, if any, has it. */
  private CompletableFuture<Boolean> replicate(UpstreamEntry entry) {
    List<String> others = otherMembers();
    if (others.isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
    int[] remaining = {others.size()};
    Body body = newNotice(List.of(entry));
    for (String address : others) {
      transport
          .call(address, body, NOTICE_TIMEOUT_MILLIS)
          .whenCompleteAsync(
              (reply, failure) -> {
                if (failure == null) {
                  confirmed.complete(true);
                } else if (--remaining[0] == 0) {
                  logger.atWarning().log(
                      "site: no other control daemon confirmed the departure of upstream %s",
                      entry.id());
                  confirmed.complete(false);
                }
              },
              loop);
    }
    return confirmed;
  }

  private Body newNotice(List<UpstreamEntry> entries) {
    UpstreamNotice.Builder out = UpstreamNotice.newBuilder().setControl(self);
    entries.forEach(e -> out.addUpstreams(SiteCodec.encodeEntry(e)));
    return Body.newBuilder().setUpstreamNotice(out).build();
  }

  private CompletableFuture<Body> handleNotice(UpstreamNotice notice) {
    long now = clock.nowMillis();
    boolean changed = false;
    boolean leaving = false;
    for (var e : notice.getUpstreamsList()) {
      UpstreamEntry entry = SiteCodec.decodeEntry(e);
      if (registry.merge(entry, now)) {
        changed = true;
        leaving |= entry.state() != UpstreamState.READY;
      }
    }
    if (leaving) {
      answerWatches();
    } else if (changed) {
      answerWatchesSoon();
    }
    if (!notice.getControl().getAddress().isEmpty()) {
      daemons.recordSeen(SiteCodec.decodeDaemon(notice.getControl(), true), now);
    }
    notice.getRoutersList().forEach(r -> daemons.recordSeen(SiteCodec.decodeDaemon(r, false), now));
    return CompletableFuture.completedFuture(
        Body.newBuilder().setUpstreamNotice(UpstreamNotice.getDefaultInstance()).build());
  }

  private void tick() {
    long now = clock.nowMillis();
    registry.expire(now);
    daemons.recordSeen(SiteCodec.decodeDaemon(self, true), now);
    daemons.expire(now);
    watchingRouters.expire(now);
    UpstreamNotice.Builder out = UpstreamNotice.newBuilder().setControl(self);
    watchingRouters
        .changesAfter(0)
        .present()
        .forEach(d -> out.addRouters(SiteCodec.encodeDaemon(d)));
    Body body = Body.newBuilder().setUpstreamNotice(out).build();
    List<String> others = otherMembers();
    others.forEach(a -> transport.send(a, body));
    if (!registryCopied) {
      others.forEach(this::copyRegistry);
    }
  }

  /** Copies the upstreams that another control daemon knows, after a start. */
  private void copyRegistry(String address) {
    SiteWatch all = SiteWatch.newBuilder().build();
    transport
        .call(address, Body.newBuilder().setSiteWatch(all).build(), NOTICE_TIMEOUT_MILLIS)
        .thenAcceptAsync(
            body -> {
              registryCopied = true;
              handleNotice(
                  UpstreamNotice.newBuilder()
                      .addAllUpstreams(body.getSiteUpdate().getUpstreamsList())
                      .build());
            },
            loop);
  }

  private CompletableFuture<Body> handleWatch(Incarnation sender, Body body) {
    SiteWatch watch = body.getSiteWatch();
    DaemonEntry router = watch.getRouter();
    if (!router.getAddress().isEmpty()) {
      SiteDaemon seen = SiteCodec.decodeDaemon(router, false);
      watchingRouters.recordSeen(seen, clock.nowMillis());
      daemons.recordSeen(seen, clock.nowMillis());
    }
    if (watch.getWaitMillis() == 0 || hasChanges(watch)) {
      return CompletableFuture.completedFuture(updateFor(watch));
    }
    PendingWatch pending = new PendingWatch(watch);
    watches.add(pending);
    pending.timer =
        loop.schedule(
            () -> {
              watches.remove(pending);
              pending.reply.complete(updateFor(watch));
            },
            Math.min(watch.getWaitMillis(), MAX_WATCH_WAIT_MILLIS),
            TimeUnit.MILLISECONDS);
    return pending.reply;
  }

  /** Queries the index of the last change, so that no earlier state is sent to routers. */
  private void catchUp() {
    controlClient
        .query(SiteStateMachine.READ_LAST_CHANGE_INDEX, COMMIT_TIMEOUT_MILLIS)
        .whenCompleteAsync(
            (index, failure) -> {
              if (failure == null) {
                replayProgress.recordConfirmedIndex(Longs.fromByteArray(index));
                answerWatches();
              } else {
                loop.schedule(this::catchUp, CATCH_UP_RETRY_MILLIS, TimeUnit.MILLISECONDS);
              }
            },
            loop);
  }

  /**
   * Returns the configuration that a watch does not know yet and that may be sent to routers; none
   * while the log is replayed.
   */
  private Optional<SiteState.StoredConfiguration> newConfiguration(SiteWatch watch) {
    return isReplayed()
        ? machine.configuration().filter(c -> c.index() > watch.getConfigurationIndex())
        : Optional.empty();
  }

  /** Returns the suspect parts that may be sent to routers; none while the log is replayed. */
  private QuarantineView currentQuarantine() {
    return isReplayed() ? machine.quarantine() : QuarantineView.EMPTY;
  }

  /** Returns the evacuated zones that may be sent to routers; none while the log is replayed. */
  private EvacuatedZones currentEvacuatedZones() {
    return isReplayed() ? machine.evacuatedZones() : EvacuatedZones.NONE;
  }

  private boolean isReplayed() {
    return replayProgress.isComplete(machine.lastChangeIndex());
  }

  private boolean hasChanges(SiteWatch watch) {
    return newConfiguration(watch).isPresent()
        || currentQuarantine().index() > watch.getQuarantineIndex()
        || currentEvacuatedZones().index() > watch.getEvacuationIndex()
        || watch.getRegistryEpoch() != registryEpoch
        || registry.lastChangeNumber() > watch.getRegistryChange();
  }

  /** Answers the watches after a delay, together with what else is news by then. */
  private void answerWatchesSoon() {
    if (answerScheduled) {
      return;
    }
    answerScheduled = true;
    loop.schedule(
        () -> {
          answerScheduled = false;
          answerWatches();
        },
        READY_NEWS_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void answerWatches() {
    List<PendingWatch> ready = new ArrayList<>();
    watches.removeIf(w -> hasChanges(w.watch) && ready.add(w));
    for (PendingWatch w : ready) {
      w.timer.cancel(false);
      w.reply.complete(updateFor(w.watch));
    }
  }

  private Body updateFor(SiteWatch watch) {
    boolean sameEpoch = watch.getRegistryEpoch() == registryEpoch;
    SiteUpdate.Builder out =
        SiteUpdate.newBuilder()
            .setRegistryEpoch(registryEpoch)
            .setRegistryChange(registry.lastChangeNumber())
            .setHasLeader(!replica.status().leaderAddress().isEmpty());
    registry
        .changesAfter(sameEpoch ? watch.getRegistryChange() : 0, clock.nowMillis())
        .forEach(e -> out.addUpstreams(SiteCodec.encodeEntry(e)));
    newConfiguration(watch)
        .ifPresent(
            c ->
                out.setConfigurationIndex(c.index())
                    .setConfiguration(ByteString.copyFrom(c.document())));
    QuarantineView q = currentQuarantine();
    if (q.index() > watch.getQuarantineIndex()) {
      out.setQuarantineIndex(q.index()).addAllSuspectParts(QuarantineCodec.encodeSuspects(q));
    }
    EvacuatedZones z = currentEvacuatedZones();
    if (z.index() > watch.getEvacuationIndex()) {
      out.setEvacuationIndex(z.index()).addAllEvacuatedZones(z.zones());
    }
    RouterPosition position =
        isReplayed()
            ? machine.routerNumbers().positionOf(watch.getRouter().getHost())
            : RouterPosition.NONE;
    if (position.routers() > 0) {
      out.setRouterNumber(position.number() + 1).setRegisteredRouters(position.routers());
    }
    DaemonDirectory.Changes changes =
        daemons.changesAfter(sameEpoch ? watch.getDaemonsChange() : 0);
    SiteCodec.encodeDaemons(changes, out);
    return Body.newBuilder().setSiteUpdate(out).build();
  }
}
