package org.goldcrestfall.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.control.Tradeoff;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.daemon.peer.ConfigSource;
import org.goldcrestfall.daemon.peer.PeerListener;
import org.goldcrestfall.daemon.peer.PeerOptions;
import org.goldcrestfall.daemon.peer.PeerService;
import org.goldcrestfall.wire.NettyPeerTransport;
import org.goldcrestfall.wire.PeerSettings;
import org.goldcrestfall.wire.TransportListener;

/**
 * Peer services of several routers in one process, on loopback ports. The first three also act as
 * control members. They share one configuration that changes without consensus, because the
 * benchmark does not measure the replicated log.
 */
final class BenchFleet implements AutoCloseable {

  private static final int CONTROL_MEMBERS = 3;
  private static final byte[] CLUSTER_KEY = "key of the benchmark".getBytes(UTF_8);

  private final List<NettyPeerTransport> transports = new ArrayList<>();
  private final List<PeerService> services = new ArrayList<>();
  private final MillisClock clock = MillisClock.monotonic();
  private final MutableConfigSource source;
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder sentFrames = new LongAdder();
  private long sequence;
  private volatile long awaitedRevision = Long.MAX_VALUE;
  private volatile CountDownLatch pendingRouters = new CountDownLatch(0);

  /** The configuration that the control members share; keeps only the last change. */
  private static final class MutableConfigSource implements ConfigSource {
    private ConfigView view;
    private ConfigChange lastChange;

    MutableConfigSource(ConfigView view) {
      this.view = view;
    }

    @Override
    public synchronized ConfigView view() {
      return view;
    }

    @Override
    public synchronized List<ConfigChange> changesAfter(long revision) {
      boolean covers = lastChange != null && lastChange.previousRevision() <= revision;
      return covers ? List.of(lastChange) : null;
    }

    synchronized long applyChange() {
      long revision = view.revision() + 1;
      lastChange =
          new ConfigChange(revision - 1, revision, workspace(0, revision), null, null, null);
      view = view.apply(lastChange);
      return revision;
    }
  }

  BenchFleet(int routers, int workspaces, long seed) throws IOException {
    source = new MutableConfigSource(view(workspaces));
    for (int i = 0; i < routers; i++) {
      transports.add(
          new NettyPeerTransport(
              new PeerSettings("r" + i, "127.0.0.1", 0, "bench", CLUSTER_KEY),
              new TransportListener() {
                @Override
                public void sent(int bytes) {
                  sentBytes.add(bytes);
                  sentFrames.increment();
                }
              }));
    }
    List<String> addresses = transports.stream().map(NettyPeerTransport::address).toList();
    List<String> control = addresses.subList(0, Math.min(CONTROL_MEMBERS, routers));
    for (int i = 0; i < routers; i++) {
      String host = "r" + i;
      PeerOptions options =
          new PeerOptions(
              host,
              "zone-" + i % 3,
              addresses.get(i),
              control,
              control,
              null,
              seed * 0x9E3779B97F4A7C15L + i);
      ConfigSource configSource = i < CONTROL_MEMBERS ? source : null;
      PeerService s = new PeerService(options, transports.get(i), clock, configSource);
      s.addListener(
          new PeerListener() {
            @Override
            public void configChanged(ConfigView view) {
              if (view.revision() >= awaitedRevision) {
                pendingRouters.countDown();
              }
            }
          });
      services.add(s);
      s.start();
      s.setIncarnation(new Incarnation(host, 1));
    }
  }

  private static ConfigView.Workspace workspace(int i, long limit) {
    return new ConfigView.Workspace("workspace-" + i, "patient", Tradeoff.STRICT, limit, 64);
  }

  private static ConfigView view(int workspaces) {
    Map<String, ConfigView.Workspace> map = new HashMap<>();
    Map<String, ConfigView.Key> keys = new HashMap<>();
    for (int i = 0; i < workspaces; i++) {
      map.put("workspace-" + i, workspace(i, 10));
      String sha256 = String.format("%064x", i);
      keys.put(sha256, new ConfigView.Key(sha256, "key-" + i, "workspace-" + i, false, 0, 0));
    }
    var patience = new ConfigView.PatienceClass("patient", 400, 60_000, 1, 100);
    return new ConfigView(100, map, keys, Map.of("patient", patience), Map.of());
  }

  /** Waits until every router knows all routers and has the current configuration. */
  void awaitConvergence() throws InterruptedException {
    for (int i = 0; i < 600; i++) {
      if (services.stream().allMatch(this::hasConverged)) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    throw new IllegalStateException("the routers did not converge within 60 s");
  }

  private boolean hasConverged(PeerService s) {
    return s.hostRevisions().size() == services.size()
        && s.configView().revision() == source.view().revision();
  }

  /** Changes the configuration and returns the time until the last router has it. */
  long measureChangeMicros() throws InterruptedException {
    awaitedRevision = Long.MAX_VALUE;
    pendingRouters = new CountDownLatch(services.size());
    awaitedRevision = source.view().revision() + 1;
    long start = System.nanoTime();
    source.applyChange();
    if (!pendingRouters.await(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("a router did not receive the new revision within 60 s");
    }
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
  }

  /**
   * Announces each upstream once a second, spread evenly over the second. Each announcement goes to
   * one router, in rotation.
   */
  void announce(int upstreams, int seconds) throws InterruptedException {
    for (int second = 0; second < seconds; second++) {
      for (int u = 0; u < upstreams; u++) {
        services.get((u + second) % services.size()).announce(announcement(u, ++sequence));
        TimeUnit.MILLISECONDS.sleep(1000 / upstreams);
      }
    }
  }

  private static UpstreamAnnouncement announcement(int u, long sequence) {
    var load = new UpstreamAnnouncement.Load(12, 3, 32, 150);
    return new UpstreamAnnouncement(
        "engine-" + u,
        1,
        sequence,
        UpstreamAnnouncement.Kind.ENGINE,
        "127.0.0.1:7000",
        "zone-a",
        UpstreamAnnouncement.State.READY,
        4000,
        List.of("hull-review-large", "photo-tags"),
        null,
        true,
        load,
        List.of());
  }

  /** Returns the number of upstreams that a router can route requests to, averaged over routers. */
  double averageRoutableUpstreams() {
    long now = clock.nowMillis();
    return services.stream()
        .mapToInt(s -> s.upstreams().routable(now).size())
        .average()
        .orElseThrow();
  }

  long sentBytes() {
    return sentBytes.sum();
  }

  long sentFrames() {
    return sentFrames.sum();
  }

  @Override
  public void close() {
    services.forEach(PeerService::close);
    transports.forEach(NettyPeerTransport::close);
  }
}
