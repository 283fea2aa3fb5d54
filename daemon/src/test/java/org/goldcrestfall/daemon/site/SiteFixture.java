package org.goldcrestfall.daemon.site;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.goldcrestfall.core.common.LoopbackAddresses;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.gateway.ClientLimits;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.InvalidConfigurationException;
import org.goldcrestfall.core.gateway.WorkspaceSettings;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.site.EvacuatedZones;
import org.goldcrestfall.daemon.Await;
import org.goldcrestfall.daemon.control.ControlReplica;
import org.goldcrestfall.daemon.control.ControlSettings;
import org.goldcrestfall.daemon.storage.FolderDisk;
import org.goldcrestfall.wire.NettyPeerTransport;
import org.goldcrestfall.wire.PeerSettings;
import org.goldcrestfall.wire.TransportListener;
import org.goldcrestfall.wire.generated.DaemonEntry;

/**
 * Runs the control daemons and routers of one site in this process, on loopback and real folders.
 */
public final class SiteFixture implements AutoCloseable {

  /** Prefix of the ids of upstreams whose entries make the routers fail with an exception. */
  static final String UNUSABLE_PREFIX = "unusable-";

  private static final int TIMEOUT_SECONDS = 20;
  private static final int FIRST_CONTROL_PORT = 17_080;

  /** A running control daemon. */
  record ControlDaemon(
      String host, NettyPeerTransport transport, ControlReplica replica, SiteControl site) {}

  /**
   * A running router.
   *
   * @param versions the versions of the configurations that it has applied, in order
   * @param upstreams the last entry that it received of each upstream, by id
   * @param quarantines the suspect parts that it has applied, in order
   * @param evacuations the evacuated zones that it has applied, in order
   */
  public record Router(
      NettyPeerTransport transport,
      SiteClient site,
      PrepaidTokens tokens,
      List<Long> versions,
      Map<String, UpstreamEntry> upstreams,
      List<QuarantineView> quarantines,
      List<EvacuatedZones> evacuations) {}

  /** Decodes a document of a version, a workspace and its prepaid tokens, separated by spaces. */
  static final ConfigurationDecoder DECODER =
      document -> {
        String[] fields = new String(document, UTF_8).split(" ");
        if (fields.length != 3) {
          throw new InvalidConfigurationException(
              "expected three fields: version, workspace and prepaid tokens");
        }
        var workspace =
            new WorkspaceSettings(
                fields[1],
                ImmutableList.of(),
                OptionalInt.empty(),
                OptionalLong.of(Long.parseLong(fields[2])));
        return new GatewayConfiguration(
            Long.parseLong(fields[0]),
            List.of(),
            Map.of(),
            ClientLimits.DEFAULT,
            Optional.of(List.of(workspace)));
      };

  final Map<String, ControlDaemon> controls = new LinkedHashMap<>();
  private final Path folder = Files.createTempDirectory("site");
  private final String ip = LoopbackAddresses.next();
  private final List<String> addresses;
  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) eventLoopGroup.next();
  private final MillisClock clock = MillisClock.monotonic();
  private int routers;

  /** Starts a number of control daemons. */
  public SiteFixture(int count) throws Exception {
    addresses =
        IntStream.range(0, count).mapToObj(i -> ip + ":" + (FIRST_CONTROL_PORT + i)).toList();
    for (int i = 0; i < count; i++) {
      startControl(i, true);
    }
  }

  /** Returns the peer addresses of the control daemons. */
  public List<String> addresses() {
    return addresses;
  }

  /**
   * Starts a control daemon.
   *
   * @param firstStart whether this is its first start, so that it forms the control group with the
   *     others
   */
  ControlDaemon startControl(int index, boolean firstStart) throws Exception {
    String host = "c" + index;
    String address = addresses().get(index);
    NettyPeerTransport transport =
        new NettyPeerTransport(
            settings(host, FIRST_CONTROL_PORT + index), TransportListener.NONE, eventLoopGroup);
    SiteStateMachine machine = new SiteStateMachine();
    ControlReplica replica =
        ControlReplica.open(
            ControlSettings.ofOpenGroup(
                host, address, firstStart ? addresses() : List.of(), this::addresses, 0),
            new FolderDisk(folder.resolve(host)),
            machine,
            transport,
            clock,
            index);
    SiteControl site =
        new SiteControl(
            DaemonEntry.newBuilder().setHost(host).setAddress(address).setZone("z" + index).build(),
            replica,
            machine,
            DECODER,
            transport,
            loop,
            clock);
    site.start();
    new LoadExchange(address, site::otherMembers, transport, loop, clock).start();
    new PermitService(transport, loop, clock).start();
    ControlDaemon control = new ControlDaemon(host, transport, replica, site);
    controls.put(host, control);
    return control;
  }

  void stopControl(String host) {
    ControlDaemon c = controls.remove(host);
    c.transport().close();
    c.replica().close();
  }

  /** Waits for a leader of the control group and returns its host. */
  String leaderHost() {
    String[] host = new String[1];
    await(
        () -> {
          controls.values().stream()
              .filter(c -> c.transport().address().equals(c.replica().status().leaderAddress()))
              .forEach(c -> host[0] = c.host());
          return host[0] != null;
        });
    return host[0];
  }

  /** Starts a router with the given seed addresses of control daemons. */
  public Router startRouter(Supplier<List<String>> seeds) throws Exception {
    return startRouter("r" + ++routers, seeds);
  }

  /** Starts a router on a host with the given seed addresses of control daemons. */
  Router startRouter(String host, Supplier<List<String>> seeds) throws Exception {
    NettyPeerTransport transport =
        new NettyPeerTransport(settings(host, 0), TransportListener.NONE, eventLoopGroup);
    List<Long> versions = new CopyOnWriteArrayList<>();
    List<QuarantineView> quarantines = new CopyOnWriteArrayList<>();
    List<EvacuatedZones> evacuations = new CopyOnWriteArrayList<>();
    Map<String, UpstreamEntry> upstreams = new ConcurrentHashMap<>();
    PrepaidTokens[] tokens = new PrepaidTokens[1];
    SiteListener listener =
        new SiteListener() {
          @Override
          public void configurationChanged(GatewayConfiguration c) {
            versions.add(c.version());
            tokens[0].configure(c);
          }

          @Override
          public void upstreamChanged(UpstreamEntry entry) {
            if (entry.id().startsWith(UNUSABLE_PREFIX)) {
              throw new IllegalArgumentException("entry " + entry.id() + " cannot be used");
            }
            upstreams.put(entry.id(), entry);
          }

          @Override
          public void quarantineChanged(QuarantineView view) {
            quarantines.add(view);
          }

          @Override
          public void evacuationChanged(EvacuatedZones zones) {
            evacuations.add(zones);
          }
        };
    DaemonEntry self =
        DaemonEntry.newBuilder()
            .setHost(host)
            .setAddress(transport.address())
            .setZone("z0")
            .build();
    SiteClient site = new SiteClient(self, seeds, transport, DECODER, loop, clock, listener);
    tokens[0] =
        new PrepaidTokens(
            host,
            host + "#1",
            MillisClock.hostMonotonic().nowMillis(),
            site,
            transport,
            loop,
            clock);
    tokens[0].start();
    site.start();
    return new Router(transport, site, tokens[0], versions, upstreams, quarantines, evacuations);
  }

  /** Creates the registration of a router. */
  RouterRegistration register(Router router) {
    return new RouterRegistration(router.site(), router.transport(), loop, clock);
  }

  /** Returns the event loop on which all daemons run. */
  public EventLoop loop() {
    return loop;
  }

  private PeerSettings settings(String host, int port) {
    return new PeerSettings(host, ip, port, "test", new byte[16]);
  }

  /** Runs a call on the event loop and waits for its result. */
  <T> T call(Supplier<CompletableFuture<T>> call) throws Exception {
    return CompletableFuture.supplyAsync(call, loop)
        .thenCompose(f -> f)
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Runs a task on the event loop. */
  public void run(Runnable task) throws Exception {
    loop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Puts a configuration, and retries until it is acknowledged. */
  public void put(String host, String document) throws Exception {
    await(
        () -> {
          try {
            call(() -> controls.get(host).site().replaceConfiguration(document.getBytes(UTF_8)));
            return true;
          } catch (Exception e) {
            return false;
          }
        });
  }

  /** Orders an evacuation or its end, and retries until the order is acknowledged. */
  void setEvacuation(String host, String zone, boolean evacuated) {
    await(
        () -> {
          try {
            call(() -> controls.get(host).site().setEvacuation(zone, evacuated));
            return true;
          } catch (Exception e) {
            return false;
          }
        });
  }

  /** Waits until a condition holds; fails after the timeout. */
  public static void await(BooleanSupplier condition) {
    Await.await(condition, TIMEOUT_SECONDS);
  }

  @Override
  public void close() {
    List.copyOf(controls.keySet()).forEach(this::stopControl);
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
