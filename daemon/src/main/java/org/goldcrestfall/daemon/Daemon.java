package org.goldcrestfall.daemon;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.budget.AllotmentLedger;
import org.goldcrestfall.core.budget.BlockWatermark;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.config.ConfigFollower;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Tradeoff;
import org.goldcrestfall.daemon.budget.BudgetService;
import org.goldcrestfall.daemon.budget.WatermarkStore;
import org.goldcrestfall.daemon.budget.WatermarkWriter;
import org.goldcrestfall.daemon.control.ControlAccess;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.daemon.control.ControlGroup;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.http.AnnouncementEndpoint;
import org.goldcrestfall.daemon.http.CallerEndpoint;
import org.goldcrestfall.daemon.http.Endpoint;
import org.goldcrestfall.daemon.http.HttpFront;
import org.goldcrestfall.daemon.http.OpenRequests;
import org.goldcrestfall.daemon.http.OperatorEndpoint;
import org.goldcrestfall.daemon.http.PlatformEndpoint;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;
import org.goldcrestfall.daemon.peer.ConfigSource;
import org.goldcrestfall.daemon.peer.PeerOptions;
import org.goldcrestfall.daemon.peer.PeerService;
import org.goldcrestfall.daemon.settings.Role;
import org.goldcrestfall.daemon.settings.Settings;
import org.goldcrestfall.daemon.storage.FolderDisk;
import org.goldcrestfall.wire.NettyPeerTransport;
import org.goldcrestfall.wire.PeerSettings;

/** Builds the parts of a daemon for its roles, starts them and shuts them down. */
public final class Daemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Bound of the time until a configuration is in force on every reachable router. */
  public static final long CONFIG_BOUND_MILLIS = ConfigFollower.MAX_CHECK_AGE_MILLIS;

  private static final long WATERMARK_BLOCK_TOKENS = 20_000;
  private static final long REGISTER_RETRY_MILLIS = 500;
  private static final long CLOSE_EARLIER_MILLIS = 1_000;
  private static final long SETTLE_MILLIS = 10_000;
  private static final long POLL_MILLIS = 50;

  private final Settings settings;
  private final MillisClock clock = MillisClock.monotonic();
  private final MillisClock utc = MillisClock.utc();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final OpenRequests open = new OpenRequests();
  private final String nonce = UUID.randomUUID().toString();
  private final long seed = UUID.randomUUID().getMostSignificantBits();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          1, new ThreadFactoryBuilder().setNameFormat("timer-%d").setDaemon(true).build());
  private ActorSystem<Void> system;
  private NettyPeerTransport transport;
  private ControlRole controlRole;
  private ControlService control;
  private PeerService peers;
  private HttpFront front;
  private volatile RouterRole router;
  private volatile CallerEndpoint callers;
  private volatile WatermarkWriter watermarks;

  /** Creates the daemon; {@link #start} starts it. */
  public Daemon(Settings settings) {
    this.settings = settings;
  }

  /**
   * Starts all parts.
   *
   * @throws Exception if an address cannot be bound or the data folder cannot be used
   */
  public void start() throws Exception {
    transport = new NettyPeerTransport(peerSettings(), new TransportMetrics(metrics));
    system = ActorSystem.create(Behaviors.empty(), "goldcrestfall", config());
    if (settings.has(Role.CONTROL)) {
      controlRole = new ControlRole(settings, transport, clock, seed);
    }
    ControlGroup group = controlRole == null ? null : controlRole.group();
    List<String> members =
        settings.controlMembers().stream().map(Settings.ControlMember::address).toList();
    control = new ControlAccess(new ControlClient(members, transport, clock, group));
    ConfigSource source = controlRole == null ? null : controlRole.machine();
    peers = new PeerService(peerOptions(members), transport, clock, source);
    peers.start();
    if (controlRole != null) {
      controlRole.startOrders(system, peers, control, utc, timer);
    }
    front = new HttpFront(system, settings, endpoints(group), open);
    front.start().toCompletableFuture().get(10, TimeUnit.SECONDS);
    metrics.gauge("open_requests", "Requests whose answer is not complete", open::count);
    metrics.gauge("config_revision", "Revision in force", () -> peers.configView().revision());
    metrics.gauge(
        "config_age_seconds", "Time since the last check", () -> peers.configAgeMillis() / 1e3);
    logger.atInfo().log(
        "daemon: host %s in zone %s listens on %s:%s",
        settings.host(), settings.zone(), settings.http().address(), settings.http().port());
    register();
  }

  private PeerSettings peerSettings() {
    Settings.Peer p = settings.peer();
    return new PeerSettings(
        settings.host(),
        p.address(),
        p.port(),
        settings.cluster(),
        p.key().getBytes(StandardCharsets.UTF_8));
  }

  private Config config() {
    Settings.Limits l = settings.limits();
    return ConfigFactory.parseMap(
            Map.of(
                "pekko.http.server.parsing.max-header-value-length", l.maxHeaderBytes(),
                "pekko.http.server.parsing.max-content-length", l.maxBodyBytes(),
                "pekko.http.server.max-connections", l.maxConnections()))
        .withFallback(ConfigFactory.load());
  }

  private PeerOptions peerOptions(List<String> controlAddresses) {
    return new PeerOptions(
        settings.host(),
        settings.zone(),
        settings.peer().endpoint(),
        settings.seeds(),
        controlAddresses,
        settings.dataFolder().map(f -> f.resolve("peer")).orElse(null),
        seed);
  }

  private List<Endpoint> endpoints(ControlGroup group) {
    List<Endpoint> out = new ArrayList<>();
    out.add(new PlatformEndpoint(metrics, this::notReadyReasons));
    FleetReport fleet = new FleetReport(settings, peers, group, clock);
    out.add(new OperatorEndpoint(system, settings, control, fleet, utc));
    out.add(new AnnouncementEndpoint(system, settings.upstreamKeySha256(), peers::announce));
    if (settings.has(Role.ROUTER)) {
      out.add(new StartingEndpoint());
    }
    return out;
  }

  /** Registers this process with the control group, which issues its incarnation. */
  private void register() {
    control
        .submit(
            new ControlCommand.RegisterHost(
                settings.host(),
                settings.zone(),
                settings.peer().endpoint(),
                nonce,
                settings.has(Role.ROUTER),
                settings.dataFolder().isPresent(),
                utc.nowMillis()))
        .whenCompleteAsync(
            (r, e) -> {
              if (e == null && r instanceof ControlReply.Registered g) {
                registered(new Incarnation(settings.host(), g.boot()));
                return;
              }
              logger.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                  "daemon: not registered yet: %s", e == null ? r : e.getMessage());
              timer.schedule(this::register, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            },
            timer);
  }

  private void registered(Incarnation self) {
    logger.atInfo().log("daemon: registered as %s", self);
    peers.identify(self);
    if (!settings.has(Role.ROUTER)) {
      return;
    }
    BudgetService budgets = budgets(self);
    RouterRole.Parts parts =
        new RouterRole.Parts(
            settings, system, transport, peers, control, metrics, clock, utc, timer);
    RouterRole role = new RouterRole(parts, budgets, seed);
    callers =
        new CallerEndpoint(
            system, role.chain(), role.pool()::models, this::staleMillis, clock, metrics);
    router = role;
  }

  private BudgetService budgets(Incarnation self) {
    if (settings.dataFolder().isEmpty()) {
      return new BudgetService(new AllotmentLedger(self), control, this::tradeoff, clock);
    }
    BlockWatermark mark = new BlockWatermark(WATERMARK_BLOCK_TOKENS);
    BudgetService service =
        new BudgetService(new AllotmentLedger(self, mark), control, this::tradeoff, clock);
    try {
      WatermarkStore store =
          new WatermarkStore(
              new FolderDisk(settings.dataFolder().get().resolve("budget")), settings.host());
      // The file must exist before the first use, or its absence would prove nothing.
      store.write(self, Map.of());
      watermarks = new WatermarkWriter(store, mark, service);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("daemon: the watermark folder cannot be used");
      return new BudgetService(new AllotmentLedger(self), control, this::tradeoff, clock);
    }
    RouterRole.every(
        timer, CLOSE_EARLIER_MILLIS, () -> watermarks.closeEarlier(control, utc.nowMillis()));
    return service;
  }

  private Tradeoff tradeoff(String workspace) {
    ConfigView.Workspace w = peers.configView().workspaces().get(workspace);
    return w == null ? Tradeoff.STRICT : w.tradeoff();
  }

  private long staleMillis() {
    long age = peers.configAgeMillis();
    return age > CONFIG_BOUND_MILLIS ? age : 0;
  }

  private List<String> notReadyReasons() {
    List<String> reasons = new ArrayList<>();
    if (open.isDraining()) {
      reasons.add("the daemon is shutting down");
    }
    if (settings.has(Role.ROUTER) && router == null) {
      reasons.add("the router is not registered with the control group");
    }
    if (router != null && !router.isReady()) {
      reasons.add("no upstream is known yet");
    }
    if (settings.has(Role.ROUTER) && !peers.configConfirmed()) {
      reasons.add("the configuration was not checked with the control group");
    }
    if (controlRole != null) {
      reasons.addAll(controlRole.notReadyReasons());
    }
    return reasons;
  }

  /**
   * Shuts down gracefully: turns {@code /readyz}, accepts through the balancer's delay, finishes
   * open requests, settles and returns allotments.
   *
   * @return whether no request was cut off and nothing was left unsettled
   */
  public boolean shutdown() {
    logger.atInfo().log("daemon: shutting down, %s requests open", open.count());
    boolean clean = true;
    try {
      open.beginDraining();
      Thread.sleep(settings.drain().notReadyMillis());
      front.unbind().toCompletableFuture().get(10, TimeUnit.SECONDS);
      logger.atInfo().log("daemon: no longer accepts, %s requests open", open.count());
      open.whenDrained().get(settings.drain().maxMillis(), TimeUnit.MILLISECONDS);
      clean = settle();
      peers.leave().get(2, TimeUnit.SECONDS);
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("daemon: shutdown is not clean");
      clean = false;
    }
    close();
    logger.atInfo().log("daemon: stopped");
    return clean;
  }

  private boolean settle() throws InterruptedException {
    RouterRole role = router;
    long until = clock.nowMillis() + SETTLE_MILLIS;
    while (role != null && !role.drain()) {
      if (clock.nowMillis() > until) {
        logger.atWarning().log(
            "daemon: allotments could not be returned in time: %s", role.undrained());
        return false;
      }
      Thread.sleep(POLL_MILLIS);
    }
    logger.atInfo().log("daemon: all records are settled and allotments returned");
    return true;
  }

  private void close() {
    timer.shutdownNow();
    peers.close();
    if (controlRole != null) {
      controlRole.close();
    }
    transport.close();
    system.terminate();
  }

  /** Answers callers once this process is registered. */
  private final class StartingEndpoint implements Endpoint {

    @Override
    public boolean accepts(String path) {
      return path.startsWith("/v1/");
    }

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest r, CompletableFuture<Void> callerGone) {
      CallerEndpoint c = callers;
      if (c != null && c.accepts(r.getUri().path())) {
        return c.handle(r, callerGone);
      }
      r.discardEntityBytes(system);
      throw c == null
          ? new RequestFailure(ErrorKind.NO_QUORUM, "The router is starting.")
          : new RequestFailure(
              ErrorKind.NOT_FOUND, "There is nothing at " + r.getUri().path() + ".");
    }
  }
}
