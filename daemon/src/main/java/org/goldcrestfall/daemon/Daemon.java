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
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.daemon.control.ControlReplica;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.control.JsonControlService;
import org.goldcrestfall.daemon.http.AnnouncementEndpoint;
import org.goldcrestfall.daemon.http.CallerEndpoint;
import org.goldcrestfall.daemon.http.DaemonHttpServer;
import org.goldcrestfall.daemon.http.Endpoint;
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

/** A daemon: creates the components of its roles, starts them and shuts them down. */
public final class Daemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Maximum time since the control group last confirmed the configuration of this daemon. If it is
   * exceeded, responses to callers state the time. Every reachable router applies an accepted
   * configuration change within this time.
   */
  public static final long MAX_CONFIG_AGE_MILLIS = ConfigFollower.MAX_CONFIRMATION_AGE_MILLIS;

  /** Block size, in tokens, by which the watermark on disk is raised. */
  private static final long WATERMARK_BLOCK_TOKENS = 20_000;

  private static final long REGISTRATION_RETRY_MILLIS = 500;

  /** Interval at which earlier incarnations of this host are closed. */
  private static final long CLOSE_EARLIER_INTERVAL_MILLIS = 1_000;

  private static final long ROUTER_DRAIN_TIMEOUT_MILLIS = 10_000;
  private static final long ROUTER_DRAIN_POLL_MILLIS = 50;

  private final Settings settings;
  private final MillisClock clock = MillisClock.monotonic();
  private final MillisClock utcClock = MillisClock.utc();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final OpenRequests openRequests = new OpenRequests();
  private final String registrationNonce = UUID.randomUUID().toString();
  private final long seed = UUID.randomUUID().getMostSignificantBits();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          1, new ThreadFactoryBuilder().setNameFormat("timer-%d").setDaemon(true).build());
  private ActorSystem<Void> system;
  private NettyPeerTransport transport;
  private ControlRole controlRole;
  private ControlService controlService;
  private PeerService peers;
  private DaemonHttpServer httpServer;
  private volatile RouterRole routerRole;
  private volatile CallerEndpoint callerEndpoint;
  private volatile WatermarkWriter watermarkWriter;

  /** Creates a daemon, which does nothing until {@link #start} is called. */
  public Daemon(Settings settings) {
    this.settings = settings;
  }

  /**
   * Starts all components. The registration with the control group continues in the background.
   *
   * @throws Exception if an address cannot be bound or the data folder cannot be used
   */
  public void start() throws Exception {
    transport = new NettyPeerTransport(peerSettings(), new TransportMetrics(metrics));
    system = ActorSystem.create(Behaviors.empty(), "goldcrestfall", pekkoConfig());
    if (settings.has(Role.CONTROL)) {
      controlRole = new ControlRole(settings, transport, clock, seed);
    }
    ControlReplica controlReplica = controlRole == null ? null : controlRole.controlReplica();
    List<String> members =
        settings.controlMembers().stream().map(Settings.ControlMember::address).toList();
    controlService =
        new JsonControlService(new ControlClient(members, transport, clock, controlReplica));
    ConfigSource source = controlRole == null ? null : controlRole.stateMachine();
    peers = new PeerService(peerOptions(members), transport, clock, source);
    peers.start();
    if (controlRole != null) {
      controlRole.scheduleOrderDelivery(system, peers, controlService, utcClock, timer);
    }
    httpServer =
        new DaemonHttpServer(system, settings, createEndpoints(controlReplica), openRequests);
    httpServer.start().toCompletableFuture().get(10, TimeUnit.SECONDS);
    metrics.registerGauge(
        "open_requests", "Requests whose answer is not complete", openRequests::count);
    metrics.registerGauge(
        "config_revision", "Revision in force", () -> peers.configView().revision());
    metrics.registerGauge(
        "config_age_seconds",
        "Time since the last check",
        () -> peers.configConfirmationAgeMillis() / 1e3);
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

  private Config pekkoConfig() {
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

  private List<Endpoint> createEndpoints(ControlReplica controlReplica) {
    List<Endpoint> endpoints = new ArrayList<>();
    endpoints.add(new PlatformEndpoint(metrics, this::notReadyReasons));
    FleetReport fleet = new FleetReport(settings, peers, controlReplica, clock);
    endpoints.add(new OperatorEndpoint(system, settings, controlService, fleet, utcClock));
    endpoints.add(new AnnouncementEndpoint(system, settings.upstreamKeySha256(), peers::announce));
    if (settings.has(Role.ROUTER)) {
      endpoints.add(new RouterEndpoint());
    }
    return endpoints;
  }

  /**
   * Registers this process with the control group, which issues its incarnation; retries on
   * failure.
   */
  private void register() {
    controlService
        .submit(
            new ControlCommand.RegisterHost(
                settings.host(),
                settings.zone(),
                settings.peer().endpoint(),
                registrationNonce,
                settings.has(Role.ROUTER),
                settings.dataFolder().isPresent(),
                utcClock.nowMillis()))
        .whenCompleteAsync(
            (reply, error) -> {
              if (error == null && reply instanceof ControlReply.Registered registered) {
                onRegistered(new Incarnation(settings.host(), registered.boot()));
                return;
              }
              logger.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                  "daemon: registration with the control group failed; retrying: %s",
                  error == null ? reply : error.getMessage());
              timer.schedule(this::register, REGISTRATION_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            },
            timer);
  }

  private void onRegistered(Incarnation self) {
    logger.atInfo().log("daemon: registered as %s", self);
    peers.setIncarnation(self);
    if (!settings.has(Role.ROUTER)) {
      return;
    }
    BudgetService budgets = createBudgetService(self);
    RouterRole.Dependencies dependencies =
        new RouterRole.Dependencies(
            settings, system, transport, peers, controlService, metrics, clock, utcClock, timer);
    RouterRole role = new RouterRole(dependencies, budgets, seed);
    callerEndpoint =
        new CallerEndpoint(
            system, role.chain(), role.pool()::models, this::staleConfigAgeMillis, clock, metrics);
    routerRole = role;
  }

  private BudgetService createBudgetService(Incarnation self) {
    if (settings.dataFolder().isEmpty()) {
      return new BudgetService(new AllotmentLedger(self), controlService, this::tradeoff, clock);
    }
    BlockWatermark watermark = new BlockWatermark(WATERMARK_BLOCK_TOKENS);
    BudgetService service =
        new BudgetService(
            new AllotmentLedger(self, watermark), controlService, this::tradeoff, clock);
    try {
      WatermarkStore store =
          new WatermarkStore(
              new FolderDisk(settings.dataFolder().get().resolve("budget")), settings.host());
      // The file must exist before tokens are used; a missing file does not prove that none were
      // used.
      store.write(self, Map.of());
      watermarkWriter = new WatermarkWriter(store, watermark, service);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log(
          "daemon: cannot open the watermark store; running without watermarks on disk");
      return new BudgetService(new AllotmentLedger(self), controlService, this::tradeoff, clock);
    }
    PeriodicTasks.schedule(
        timer,
        CLOSE_EARLIER_INTERVAL_MILLIS,
        () -> watermarkWriter.closeEarlierIncarnations(controlService, utcClock.nowMillis()));
    return service;
  }

  private Tradeoff tradeoff(String workspace) {
    ConfigView.Workspace w = peers.configView().workspaces().get(workspace);
    return w == null ? Tradeoff.STRICT : w.tradeoff();
  }

  private long staleConfigAgeMillis() {
    long age = peers.configConfirmationAgeMillis();
    return age > MAX_CONFIG_AGE_MILLIS ? age : 0;
  }

  private List<String> notReadyReasons() {
    List<String> reasons = new ArrayList<>();
    if (openRequests.isDraining()) {
      reasons.add("the daemon is shutting down");
    }
    if (settings.has(Role.ROUTER) && routerRole == null) {
      reasons.add("the router is not registered with the control group");
    }
    if (routerRole != null && !routerRole.isReady()) {
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
   * Shuts down gracefully. First {@code /readyz} reports not ready while requests are still
   * accepted, so that load balancers can stop sending new ones. Then the daemon stops accepting
   * requests, finishes the open ones, settles their billing records and returns its allotments.
   *
   * @return whether no request was cut off, all records were settled and all allotments returned
   */
  public boolean shutdown() {
    logger.atInfo().log("daemon: shutting down with %s open requests", openRequests.count());
    boolean clean = true;
    try {
      openRequests.beginDraining();
      Thread.sleep(settings.drain().notReadyMillis());
      httpServer.unbind().toCompletableFuture().get(10, TimeUnit.SECONDS);
      logger.atInfo().log(
          "daemon: stopped accepting requests; %s requests are open", openRequests.count());
      openRequests.whenDrained().get(settings.drain().maxMillis(), TimeUnit.MILLISECONDS);
      clean = drainRouter();
      peers.leave().get(2, TimeUnit.SECONDS);
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("daemon: graceful shutdown failed");
      clean = false;
    }
    close();
    logger.atInfo().log("daemon: stopped");
    return clean;
  }

  private boolean drainRouter() throws InterruptedException {
    RouterRole role = routerRole;
    long deadline = clock.nowMillis() + ROUTER_DRAIN_TIMEOUT_MILLIS;
    while (role != null && !role.drain()) {
      if (clock.nowMillis() > deadline) {
        logger.atWarning().log(
            "daemon: records and allotments are still pending after the shutdown timeout: %s",
            role.describePendingWork());
        return false;
      }
      Thread.sleep(ROUTER_DRAIN_POLL_MILLIS);
    }
    logger.atInfo().log("daemon: all billing records are settled and all allotments are returned");
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

  /**
   * Forwards requests to the {@link CallerEndpoint}; refuses them until this process is registered.
   */
  private final class RouterEndpoint implements Endpoint {

    @Override
    public boolean accepts(String path) {
      return path.startsWith("/v1/");
    }

    @Override
    public CompletionStage<HttpResponse> handle(
        HttpRequest r, CompletableFuture<Void> callerDisconnected) {
      CallerEndpoint c = callerEndpoint;
      if (c != null && c.accepts(r.getUri().path())) {
        return c.handle(r, callerDisconnected);
      }
      r.discardEntityBytes(system);
      throw c == null
          ? new RequestFailure(ErrorKind.NO_QUORUM, "The router is starting.")
          : new RequestFailure(
              ErrorKind.NOT_FOUND, "There is nothing at " + r.getUri().path() + ".");
    }
  }
}
