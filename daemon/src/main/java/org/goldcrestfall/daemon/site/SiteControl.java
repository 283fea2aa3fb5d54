package org.goldcrestfall.daemon.site;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.consensus.Member;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.InvalidConfigurationException;
import org.goldcrestfall.core.gateway.WorkspaceSettings;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamRegistry;
import org.goldcrestfall.core.registry.UpstreamState;
import org.goldcrestfall.core.site.ReplayGate;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.daemon.control.ControlGroup;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.SiteUpdate;
import org.goldcrestfall.wire.generated.SiteWatch;
import org.goldcrestfall.wire.generated.UpstreamNotice;

/**
 * The control daemon's part of a site: takes configurations and announcements, passes announcements
 * to the other control daemons, and answers the watches of routers. Confined to one event loop.
 */
public final class SiteControl {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** An operator tries the next daemon after a second, so a longer wait helps nobody. */
  private static final long COMMIT_MILLIS = 900;

  /** An upstream waits a second for the answer to its announcement. */
  private static final long NOTICE_MILLIS = 400;

  /** Interval of the notices that name this daemon and the routers that watch it. */
  private static final long DIRECTORY_MILLIS = 1_000;

  /** A daemon that was not heard for so long is not named any more. */
  private static final long DAEMON_LOST_MILLIS = 6_000;

  private static final int MAX_WAIT_MILLIS = 2_000;

  /** Pause between two attempts to learn which configuration is the newest, after a start. */
  private static final long CATCH_UP_MILLIS = 100;

  private record Heard(DaemonEntry daemon, long at) {}

  private static final class PendingWatch {
    final SiteWatch watch;
    final CompletableFuture<Body> reply = new CompletableFuture<>();
    ScheduledFuture<?> timer;

    PendingWatch(SiteWatch watch) {
      this.watch = watch;
    }
  }

  private final DaemonEntry self;
  private final ControlGroup group;
  private final ControlClient client;
  private final SiteStateMachine machine;
  private final ConfigurationDecoder decoder;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final UpstreamRegistry registry = new UpstreamRegistry();
  private final long registryEpoch = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private final ReplayGate replayGate = new ReplayGate();
  private final List<PendingWatch> watches = new ArrayList<>();
  private final Map<String, Heard> controls = new HashMap<>();
  private final Map<String, Heard> routers = new HashMap<>();
  private final Map<String, Heard> ownRouters = new HashMap<>();
  private boolean copied;

  /** Creates the part; {@link #start} makes it take calls. */
  public SiteControl(
      DaemonEntry self,
      ControlGroup group,
      SiteStateMachine machine,
      ConfigurationDecoder decoder,
      PeerTransport transport,
      EventLoop loop,
      MillisClock clock) {
    this.self = self;
    this.group = group;
    this.machine = machine;
    this.decoder = decoder;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    client = new ControlClient(this::memberAddresses, transport, clock, group);
  }

  /** Registers the handlers and begins to exchange notices. */
  public void start() {
    machine.onConfiguration(() -> loop.execute(this::answerWatches));
    transport.handle(KindCase.SITE_WATCH, (sender, body) -> onLoop(() -> watch(sender, body)));
    transport.handle(
        KindCase.UPSTREAM_NOTICE, (sender, body) -> onLoop(() -> notice(body.getUpstreamNotice())));
    loop.execute(this::catchUp);
    loop.scheduleWithFixedDelay(this::tick, 0, DIRECTORY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<Body> onLoop(java.util.function.Supplier<CompletableFuture<Body>> s) {
    if (loop.inEventLoop()) {
      return s.get();
    }
    return CompletableFuture.supplyAsync(s, loop).thenCompose(f -> f);
  }

  private List<String> memberAddresses() {
    List<String> out =
        new ArrayList<>(group.status().members().all().stream().map(Member::address).toList());
    if (out.isEmpty()) {
      out.add(self.getAddress());
    }
    return out;
  }

  private List<String> otherMembers() {
    List<String> out = memberAddresses();
    out.remove(self.getAddress());
    return out;
  }

  // ---------------------------------------------------------------- configuration

  /**
   * Puts a configuration in force if its version is higher than the stored one. Completes with the
   * version in force once that is acknowledged by the group.
   */
  public CompletableFuture<Long> replaceConfiguration(byte[] document) {
    GatewayConfiguration decoded;
    try {
      decoded = decoder.decode(document);
    } catch (InvalidConfigurationException e) {
      logger.atInfo().log("site: refused a configuration: %s", e.getMessage());
      return CompletableFuture.failedFuture(e);
    }
    ImmutableMap.Builder<String, Long> totals = ImmutableMap.builder();
    for (WorkspaceSettings w : decoded.workspaces()) {
      w.prepaidTokens().ifPresent(t -> totals.put(w.name(), t));
    }
    var command =
        new SiteCommand.PutConfiguration(
            decoded.version(), Compression.compress(document), totals.buildKeepingLast());
    return client
        .submit(SiteCodec.encodeCommand(command), COMMIT_MILLIS)
        .thenApply(
            reply -> {
              logger.atInfo().log("site: acknowledged configuration version %s", decoded.version());
              return decoded.version();
            });
  }

  /** Returns the newest configuration's document; fails if no leader can confirm which that is. */
  public CompletableFuture<byte[]> readConfiguration() {
    return client
        .query(SiteStateMachine.READ_DOCUMENT, COMMIT_MILLIS)
        .thenApply(d -> d.length == 0 ? d : Compression.decompress(d));
  }

  // ---------------------------------------------------------------- upstreams

  /**
   * Takes an announcement. Completes with true when it may be acknowledged: what routers have to
   * act on must have reached another control daemon.
   */
  public CompletableFuture<Boolean> announce(UpstreamEntry entry) {
    UpstreamEntry before = registry.find(entry.id());
    boolean changed = registry.merge(entry, clock.nowMillis());
    if (changed) {
      logger.atInfo().log(
          "site: upstream %s of %s at %s is %s, sequence %s",
          entry.id(), entry.service(), entry.address(), entry.state(), entry.sequence());
      answerWatches();
    }
    boolean leaving = entry.state() != UpstreamState.READY;
    if (!leaving || before != null && !changed && before.state() != UpstreamState.READY) {
      passOn(entry);
      return CompletableFuture.completedFuture(true);
    }
    return confirm(entry);
  }

  /** Takes the departure of an upstream; see {@link #announce}. */
  public CompletableFuture<Boolean> depart(String id, long startedAtMillis) {
    UpstreamEntry gone = registry.depart(id, startedAtMillis, clock.nowMillis());
    logger.atInfo().log("site: upstream %s has left", id);
    answerWatches();
    return confirm(gone);
  }

  private void passOn(UpstreamEntry entry) {
    Body body = noticeOf(List.of(entry));
    otherMembers().forEach(a -> transport.send(a, body));
  }

  /** Passes an entry on and waits until one other control daemon, if there are any, has it. */
  private CompletableFuture<Boolean> confirm(UpstreamEntry entry) {
    List<String> others = otherMembers();
    if (others.isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
    int[] open = {others.size()};
    Body body = noticeOf(List.of(entry));
    for (String address : others) {
      transport
          .call(address, body, NOTICE_MILLIS)
          .whenCompleteAsync(
              (reply, failure) -> {
                if (failure == null) {
                  confirmed.complete(true);
                } else if (--open[0] == 0) {
                  logger.atWarning().log(
                      "site: no other control daemon confirmed that upstream %s leaves",
                      entry.id());
                  confirmed.complete(false);
                }
              },
              loop);
    }
    return confirmed;
  }

  private Body noticeOf(List<UpstreamEntry> entries) {
    UpstreamNotice.Builder out = UpstreamNotice.newBuilder().setControl(self);
    entries.forEach(e -> out.addUpstreams(SiteCodec.encodeEntry(e)));
    return Body.newBuilder().setUpstreamNotice(out).build();
  }

  private CompletableFuture<Body> notice(UpstreamNotice notice) {
    long now = clock.nowMillis();
    boolean changed = false;
    for (var e : notice.getUpstreamsList()) {
      changed |= registry.merge(SiteCodec.decodeEntry(e), now);
    }
    if (changed) {
      answerWatches();
    }
    if (!notice.getControl().getAddress().isEmpty()) {
      controls.put(notice.getControl().getAddress(), new Heard(notice.getControl(), now));
    }
    notice.getRoutersList().forEach(r -> routers.put(r.getAddress(), new Heard(r, now)));
    return CompletableFuture.completedFuture(
        Body.newBuilder().setUpstreamNotice(UpstreamNotice.getDefaultInstance()).build());
  }

  private void tick() {
    long now = clock.nowMillis();
    registry.expire(now);
    for (Map<String, Heard> heard : List.of(controls, routers, ownRouters)) {
      heard.values().removeIf(h -> now - h.at() > DAEMON_LOST_MILLIS);
    }
    UpstreamNotice.Builder out = UpstreamNotice.newBuilder().setControl(self);
    ownRouters.values().forEach(h -> out.addRouters(h.daemon()));
    Body body = Body.newBuilder().setUpstreamNotice(out).build();
    List<String> others = otherMembers();
    others.forEach(a -> transport.send(a, body));
    if (!copied) {
      others.forEach(this::copyRegistry);
    }
  }

  /** Fetches what another control daemon knows, after a start. */
  private void copyRegistry(String address) {
    SiteWatch all = SiteWatch.newBuilder().build();
    transport
        .call(address, Body.newBuilder().setSiteWatch(all).build(), NOTICE_MILLIS)
        .thenAcceptAsync(
            body -> {
              copied = true;
              notice(
                  UpstreamNotice.newBuilder()
                      .addAllUpstreams(body.getSiteUpdate().getUpstreamsList())
                      .build());
            },
            loop);
  }

  // ---------------------------------------------------------------- watches

  private CompletableFuture<Body> watch(Incarnation sender, Body body) {
    SiteWatch watch = body.getSiteWatch();
    DaemonEntry router = watch.getRouter();
    if (!router.getAddress().isEmpty()) {
      Heard heard = new Heard(router, clock.nowMillis());
      ownRouters.put(router.getAddress(), heard);
      routers.put(router.getAddress(), heard);
    }
    if (watch.getWaitMillis() == 0 || hasNews(watch)) {
      return CompletableFuture.completedFuture(update(watch));
    }
    PendingWatch pending = new PendingWatch(watch);
    watches.add(pending);
    pending.timer =
        loop.schedule(
            () -> {
              watches.remove(pending);
              pending.reply.complete(update(watch));
            },
            Math.min(watch.getWaitMillis(), MAX_WAIT_MILLIS),
            TimeUnit.MILLISECONDS);
    return pending.reply;
  }

  /** Learns which configuration is in force, so that none of those before it is given out. */
  private void catchUp() {
    client
        .query(SiteStateMachine.READ_INDEX, COMMIT_MILLIS)
        .whenCompleteAsync(
            (index, failure) -> {
              if (failure == null) {
                replayGate.confirm(Longs.fromByteArray(index));
                answerWatches();
              } else {
                loop.schedule(this::catchUp, CATCH_UP_MILLIS, TimeUnit.MILLISECONDS);
              }
            },
            loop);
  }

  /** Returns the configuration that may be given out, which is none while the log is replayed. */
  private SiteState.StoredConfiguration currentConfiguration() {
    return replayGate.pass(machine.configuration());
  }

  private boolean hasNews(SiteWatch watch) {
    return currentConfiguration().index() > watch.getConfigurationIndex()
        || watch.getRegistryEpoch() != registryEpoch
        || registry.change() > watch.getRegistryChange();
  }

  private void answerWatches() {
    List<PendingWatch> ready = new ArrayList<>();
    watches.removeIf(w -> hasNews(w.watch) && ready.add(w));
    for (PendingWatch w : ready) {
      w.timer.cancel(false);
      w.reply.complete(update(w.watch));
    }
  }

  private Body update(SiteWatch watch) {
    boolean sameEpoch = watch.getRegistryEpoch() == registryEpoch;
    SiteUpdate.Builder out =
        SiteUpdate.newBuilder()
            .setRegistryEpoch(registryEpoch)
            .setRegistryChange(registry.change())
            .addControls(self)
            .setHasLeader(!group.status().leaderAddress().isEmpty());
    registry
        .changesAfter(sameEpoch ? watch.getRegistryChange() : 0)
        .forEach(e -> out.addUpstreams(SiteCodec.encodeEntry(e)));
    SiteState.StoredConfiguration c = currentConfiguration();
    if (c.index() > watch.getConfigurationIndex()) {
      out.setConfigurationIndex(c.index()).setConfiguration(ByteString.copyFrom(c.document()));
    }
    controls.values().forEach(h -> out.addControls(h.daemon()));
    routers.values().forEach(h -> out.addRouters(h.daemon()));
    return Body.newBuilder().setSiteUpdate(out).build();
  }
}
