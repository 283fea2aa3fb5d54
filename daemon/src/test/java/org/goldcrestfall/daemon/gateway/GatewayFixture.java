package org.goldcrestfall.daemon.gateway;

import static com.google.common.base.Preconditions.checkState;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.gateway.ClientLimits;
import org.goldcrestfall.core.gateway.DrainSchedule;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.Route;
import org.goldcrestfall.core.gateway.RouteKind;
import org.goldcrestfall.core.gateway.ServiceSettings;
import org.goldcrestfall.core.gateway.WeightedService;
import org.goldcrestfall.core.gateway.WorkspaceSettings;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamState;
import org.goldcrestfall.daemon.Await;
import org.goldcrestfall.daemon.site.PrepaidTokens;
import org.goldcrestfall.daemon.site.SiteClient;
import org.goldcrestfall.wire.NettyPeerTransport;
import org.goldcrestfall.wire.PeerSettings;
import org.goldcrestfall.wire.TransportListener;
import org.goldcrestfall.wire.generated.DaemonEntry;

/** A router on loopback; tests set its configuration and upstreams. */
final class GatewayFixture implements AutoCloseable {

  static final GatewayHeaderNames HEADER_NAMES =
      new GatewayHeaderNames(
          "X-Id",
          "X-Remaining",
          "X-Signature",
          "X-Expect",
          "X-Not-Run",
          "X-Workspace",
          "X-Tokens",
          "X-Parts",
          "X-Load",
          "X-Limit",
          "X-Rank",
          "Last-Event-Id",
          "Token ",
          ImmutableSet.of("x-expect", "x-workspace", "x-rank", "x-hold"));

  private static final int TIMEOUT_SECONDS = 10;
  private static final double RETRY_SLACK = 100;
  private static final long MAX_BUFFERED_BYTES = 1 << 20;

  final Gateway gateway;

  /** Whether reading the clock throws, which makes handlers and periodic tasks throw. */
  volatile boolean clockFails;

  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) eventLoopGroup.next();
  private final NettyPeerTransport transport;
  private final SiteClient site;
  private final Channel server;
  private volatile boolean clockHeld;
  private volatile long heldAtMillis;
  private int lastRequestId;
  private final Map<String, ScriptedUpstream> upstreams = new LinkedHashMap<>();

  /** Starts a router that reaches no control daemon. */
  GatewayFixture() throws Exception {
    this(() -> List.of("127.0.0.1:1"));
  }

  /**
   * Starts a router of a site, which has to be configured before it joins the site.
   *
   * @param seeds supplies the peer addresses of control daemons
   */
  GatewayFixture(Supplier<List<String>> seeds) throws Exception {
    this(seeds, RETRY_SLACK, MAX_BUFFERED_BYTES);
  }

  private GatewayFixture(Supplier<List<String>> seeds, double retrySlack, long maxBufferedBytes)
      throws Exception {
    MillisClock running = MillisClock.monotonic();
    MillisClock clock =
        () -> {
          checkState(!clockFails, "the clock fails");
          return clockHeld ? heldAtMillis : (heldAtMillis = running.nowMillis());
        };
    transport =
        new NettyPeerTransport(
            new PeerSettings("r", "127.0.0.1", 0, "test", new byte[16]),
            TransportListener.NONE,
            eventLoopGroup);
    gateway =
        new Gateway(
            new GatewaySettings("z", 0.2, retrySlack, 10_000, maxBufferedBytes, 16 << 20),
            HEADER_NAMES,
            loop,
            clock,
            new GatewayMetrics());
    DaemonEntry self = DaemonEntry.newBuilder().setAddress(transport.address()).build();
    site =
        new SiteClient(self, seeds, transport, d -> gateway.configuration(), loop, clock, gateway);
    PrepaidTokens prepaid =
        new PrepaidTokens(
            "r", "r#1", MillisClock.hostMonotonic().nowMillis(), site, transport, loop, clock);
    gateway.attach(site, prepaid, transport);
    server = GatewayServer.bind(gateway, loop, "127.0.0.1", 0);
  }

  /** Starts a router that reaches no control daemon and may send requests again without limit. */
  static GatewayFixture withUnlimitedRetries() throws Exception {
    return new GatewayFixture(() -> List.of("127.0.0.1:1"), 1e9, MAX_BUFFERED_BYTES);
  }

  /** Starts a router that reaches no control daemon and takes long uploads. */
  static GatewayFixture withLongUploads() throws Exception {
    return new GatewayFixture(() -> List.of("127.0.0.1:1"), RETRY_SLACK, 16 << 20);
  }

  static Route route(
      String prefix, RouteKind kind, int timeoutMillis, int maxAttempts, boolean resumable) {
    return route(prefix, kind, timeoutMillis, maxAttempts, false, resumable);
  }

  private static Route route(
      String prefix,
      RouteKind kind,
      int timeoutMillis,
      int maxAttempts,
      boolean isPublic,
      boolean resumable) {
    return new Route(
        prefix,
        "h",
        prefix,
        kind,
        timeoutMillis,
        500,
        0,
        ImmutableList.of(new WeightedService("s", 1)),
        maxAttempts,
        isPublic,
        false,
        resumable,
        500);
  }

  /** Returns a route on which requests need no key. */
  static Route publicRoute(String prefix, RouteKind kind, int timeoutMillis, int maxAttempts) {
    return route(prefix, kind, timeoutMillis, maxAttempts, true, false);
  }

  void configure(Route... routes) throws Exception {
    var workspace =
        new WorkspaceSettings(
            "mill", ImmutableList.of("k"), OptionalInt.empty(), OptionalLong.empty());
    configure(Optional.of(List.of(workspace)), routes);
  }

  void configure(Optional<List<WorkspaceSettings>> workspaces, Route... routes) throws Exception {
    var configuration =
        new GatewayConfiguration(
            1,
            List.of(routes),
            Map.of("s", new ServiceSettings("s", 100, Optional.empty(), Optional.empty())),
            ClientLimits.DEFAULT,
            workspaces);
    runOnLoop(() -> gateway.configurationChanged(configuration));
  }

  ScriptedUpstream addUpstream(String id, ScriptedUpstream.Script script) throws Exception {
    return register(id, new ScriptedUpstream(script, false));
  }

  /** Adds an upstream that responds before it has read the body of a request. */
  ScriptedUpstream addEarlyRespondingUpstream(String id, ScriptedUpstream.Script script)
      throws Exception {
    return register(id, new ScriptedUpstream(script, true));
  }

  /** Makes an upstream known to this router; it is closed together with the router. */
  ScriptedUpstream register(String id, ScriptedUpstream u) throws Exception {
    upstreams.put(id, u);
    runOnLoop(() -> gateway.upstreamChanged(entry(id, UpstreamState.READY)));
    return u;
  }

  /** Returns the registry entry of an upstream in a state. */
  UpstreamEntry entry(String id, UpstreamState state) {
    return entry(id, state, 1);
  }

  private UpstreamEntry entry(String id, UpstreamState state, long startedAtMillis) {
    String address = upstreams.get(id).address();
    return new UpstreamEntry(id, "s", address, "z", state, 4, startedAtMillis, 1, 0);
  }

  /** Makes known that an upstream has started again under its id and address. */
  void restart(String id) throws Exception {
    runOnLoop(() -> gateway.upstreamChanged(entry(id, UpstreamState.READY, 2)));
  }

  /** Makes known that all upstreams have ended. */
  void removeUpstreams() throws Exception {
    for (String id : upstreams.keySet()) {
      runOnLoop(() -> gateway.upstreamChanged(entry(id, UpstreamState.GONE)));
    }
  }

  /** Starts to drain the router; see {@link DrainSchedule} for the times, counted from now. */
  void startDraining(long removedAfterMillis, long endsAfterMillis) throws Exception {
    runOnLoop(
        () -> {
          long now = gateway.now();
          gateway.startDraining(new DrainSchedule(now + removedAfterMillis, now + endsAfterMillis));
        });
  }

  /** Stops the router's clock, or lets it run again, so that a test does not depend on its pace. */
  void holdClock(boolean held) {
    clockHeld = held;
  }

  boolean canStop() {
    return Futures.getUnchecked(loop.submit(gateway::canStop));
  }

  /** Stops the request path and closes the listener, as at the end of a drain. */
  void stop() {
    gateway.stop(server::close);
  }

  /** Starts to watch the control daemons, whose configuration is ignored. */
  void joinSite() {
    site.start();
  }

  void runOnLoop(Runnable task) throws Exception {
    loop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Runs a task after bytes of callers have arrived, but before the router could read them, as
   * happens on a machine whose processor is taken away for a while.
   */
  void runBeforeReading(Callable<?> callers, Runnable task) throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch arrived = new CountDownLatch(1);
    loop.execute(
        () -> {
          busy.countDown();
          Uninterruptibles.awaitUninterruptibly(arrived, TIMEOUT_SECONDS, TimeUnit.SECONDS);
        });
    busy.await();
    callers.call();
    loop.execute(task);
    arrived.countDown();
  }

  /** Lets each pass of the event loop take some time, as on a machine with little processor. */
  void slowDown(long passMillis) {
    loop.scheduleWithFixedDelay(
        () -> Uninterruptibles.sleepUninterruptibly(passMillis, TimeUnit.MILLISECONDS),
        0,
        1,
        TimeUnit.MILLISECONDS);
  }

  Socket connect() throws IOException {
    InetSocketAddress a = (InetSocketAddress) server.localAddress();
    Socket socket = new Socket(a.getAddress(), a.getPort());
    socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
    return socket;
  }

  /** Sends a request on a connection of its own, and returns all bytes of the response. */
  String call(String method, String path, String headers, String body) throws IOException {
    try (Socket socket = connect()) {
      String text =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: h\r\nX-Id: "
              + ++lastRequestId
              + "\r\nAuthorization: Token k\r\n"
              + "Connection: close\r\nContent-Length: "
              + body.length()
              + "\r\n"
              + headers
              + "\r\n"
              + body;
      return sendRaw(socket, text);
    }
  }

  static String sendRaw(Socket socket, String text) throws IOException {
    send(socket, text);
    return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
  }

  /** Sends bytes without waiting for a response. */
  static Void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    return null;
  }

  static void await(BooleanSupplier condition) {
    Await.await(condition, TIMEOUT_SECONDS);
  }

  @Override
  public void close() throws Exception {
    server.close().sync();
    transport.close();
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    for (ScriptedUpstream u : upstreams.values()) {
      u.close();
    }
  }
}
