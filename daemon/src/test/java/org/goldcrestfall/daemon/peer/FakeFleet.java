package org.goldcrestfall.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.membership.Member;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.membership.UpstreamAnnouncement.State;

/**
 * Daemons on a {@link FakeNetwork} with a fake control group and fake upstreams. After every step,
 * the fleet checks that no router routes to an upstream that left or vanished at least 5 s ago
 * (property P6) and that the revision of no router decreases (property P8).
 */
final class FakeFleet {

  static final int CONTROL_MEMBERS = 3;
  private static final long APPLY_INTERVAL_MILLIS = 500;
  private static final long MAX_ROUTABLE_AFTER_DEPARTURE_MILLIS = 5000;

  final FakeNetwork network;
  final int size;
  final FakeNetwork.Process[] processes;
  final PeerService[] services;
  final ConfigView[] appliedViews = new ConfigView[CONTROL_MEMBERS];
  final boolean[] isolated = new boolean[CONTROL_MEMBERS];
  final List<Upstream> upstreams = new ArrayList<>();
  private final ConfigView[] storedViews;
  private final long[] boots;
  private final long[] servedRevisions;
  private long acceptedRevision;

  /**
   * If set, restarted daemons find no stored view. Set it to verify that the checks detect this.
   */
  boolean storedViewsAreLost;

  /** An upstream that announces itself every second until it leaves or vanishes. */
  final class Upstream {
    private final String name;
    private final long ttlMillis;

    /** Number of the router that gets all announcements, or -1 to choose one for each at random. */
    private final int router;

    private long sequence;
    private long nextAnnouncementAtMillis;
    private long lastReadyAtMillis = Long.MAX_VALUE;
    private boolean departed;

    /** Creates an upstream that makes each announcement to a random router. */
    Upstream(String name) {
      this(name, 1 + network.random.nextInt(5000), -1);
    }

    Upstream(String name, long ttlMillis, int router) {
      this.name = name;
      this.ttlMillis = ttlMillis;
      this.router = router;
    }

    void announce(int router, State state) {
      var a =
          new UpstreamAnnouncement(
              name,
              1,
              ++sequence,
              UpstreamAnnouncement.Kind.ENGINE,
              "10.0.0.1:80",
              "z",
              state,
              ttlMillis,
              List.of(),
              null,
              false,
              null,
              null);
      if (network.running.containsValue(processes[router])) {
        services[router].announce(a);
      }
    }

    void leave(int router) {
      vanish();
      announce(router, State.LEAVING);
    }

    void vanish() {
      if (!departed) {
        departed = true;
        lastReadyAtMillis = network.clock.nowMillis();
      }
    }

    private void step() {
      long now = network.clock.nowMillis();
      if (!departed && now >= nextAnnouncementAtMillis) {
        nextAnnouncementAtMillis = now + 1000;
        announce(router >= 0 ? router : network.random.nextInt(size), State.READY);
      }
    }

    boolean routableAt(int i) {
      long now = processes[i].nowMillis();
      return services[i].upstreams().routable(now).stream()
          .anyMatch(e -> e.announcement().name().equals(name));
    }
  }

  FakeFleet(int size, long seed) {
    network = new FakeNetwork(seed);
    this.size = size;
    processes = new FakeNetwork.Process[size];
    services = new PeerService[size];
    storedViews = new ConfigView[size];
    boots = new long[size];
    servedRevisions = new long[size];
    Arrays.fill(storedViews, ConfigView.EMPTY);
    Arrays.fill(appliedViews, ConfigView.EMPTY);
    for (int i = 0; i < size; i++) {
      start(i);
    }
  }

  String address(int i) {
    return "10.0.1." + i + ":9080";
  }

  /** Returns whether daemon {@code i} is neither killed nor frozen. */
  boolean up(int i) {
    return !processes[i].dead() && !processes[i].frozen;
  }

  void start(int i) {
    if (processes[i] != null && !processes[i].dead()) {
      return;
    }
    var p = network.new Process("h" + i, address(i));
    processes[i] = p;
    List<String> control = IntStream.range(0, CONTROL_MEMBERS).mapToObj(this::address).toList();
    List<String> seeds = List.of(address(0), address(1));
    var options =
        new PeerOptions(
            p.host, "zone-" + i % 3, p.address, seeds, control, null, network.random.nextLong());
    ConfigSource source = i < CONTROL_MEMBERS ? () -> appliedViews[i] : null;
    ConfigStore store =
        new ConfigStore() {
          @Override
          public ConfigView load() {
            return storedViewsAreLost ? ConfigView.EMPTY : storedViews[i];
          }

          @Override
          public void save(ConfigView view) {
            storedViews[i] = view;
          }
        };
    try {
      services[i] = new PeerService(options, p, p::nowMillis, source, store, p);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    services[i].start();
    services[i].setIncarnation(new Incarnation(p.host, ++boots[i]));
  }

  void kill(int i) {
    processes[i].close();
  }

  void freeze(int i, long millis) {
    FakeNetwork.Process p = processes[i];
    p.frozen = true;
    network.after(
        millis,
        () -> {
          checkUpstreams(i);
          p.resume();
        });
  }

  /** Cuts the links between hosts whose bits in {@code sides} differ. */
  void partition(int sides) {
    for (int i = 0; i < size; i++) {
      for (int j = 0; j < i; j++) {
        boolean apart = ((sides >> i) & 1) != ((sides >> j) & 1);
        network.setCut(address(i), address(j), apart);
      }
    }
  }

  void heal() {
    network.healLinks();
    Arrays.fill(isolated, false);
    for (FakeNetwork.Process p : processes) {
      if (p.frozen && !p.dead()) {
        p.resume();
      }
    }
  }

  /** Returns a majority of control members that one of them reaches, or none. */
  private List<Integer> quorum() {
    for (int leader = 0; leader < CONTROL_MEMBERS; leader++) {
      List<Integer> group = new ArrayList<>();
      for (int i = 0; i < CONTROL_MEMBERS; i++) {
        boolean reached = i == leader || network.linked(address(leader), address(i));
        if (up(i) && up(leader) && !isolated[i] && !isolated[leader] && reached) {
          group.add(i);
        }
      }
      if (group.size() > CONTROL_MEMBERS / 2) {
        return group;
      }
    }
    return List.of();
  }

  /** Commits a configuration change if there is a quorum; returns the last accepted revision. */
  long commit() {
    List<Integer> quorum = quorum();
    if (!quorum.isEmpty()) {
      acceptedRevision += 1 + network.random.nextInt(3);
      quorum.forEach(i -> appliedViews[i] = view(acceptedRevision));
    }
    return acceptedRevision;
  }

  static ConfigView view(long revision) {
    return new ConfigView(revision, Map.of(), Map.of(), Map.of(), Map.of());
  }

  void run(long millis) {
    for (long t = 0; t < millis; t += FakeNetwork.STEP_MILLIS) {
      network.step();
      upstreams.forEach(Upstream::step);
      if (network.clock.nowMillis() % APPLY_INTERVAL_MILLIS == 0) {
        quorum().forEach(i -> appliedViews[i] = view(acceptedRevision));
      }
      for (int i = 0; i < size; i++) {
        checkUpstreams(i);
        checkRevision(i);
      }
    }
  }

  private void checkUpstreams(int i) {
    if (processes[i].dead()) {
      return;
    }
    for (Upstream u : upstreams) {
      if (u.departed
          && network.clock.nowMillis() - u.lastReadyAtMillis
              >= MAX_ROUTABLE_AFTER_DEPARTURE_MILLIS) {
        assertThat(u.routableAt(i))
            .as("router %s routes to %s, which departed at %s", i, u.name, u.lastReadyAtMillis)
            .isFalse();
      }
    }
  }

  private void checkRevision(int i) {
    if (up(i)) {
      long revision = services[i].configView().revision();
      assertThat(revision)
          .as("revision of router %s", i)
          .isGreaterThanOrEqualTo(servedRevisions[i]);
      servedRevisions[i] = revision;
    }
  }

  /** Returns the hosts that router {@code i} considers live. */
  Set<String> liveHostsAt(int i) {
    Set<String> live = new HashSet<>();
    for (Member m : services[i].members()) {
      if (m.live()) {
        live.add(m.host());
      }
    }
    return live;
  }

  Set<String> runningHosts() {
    Set<String> hosts = new HashSet<>();
    network.running.values().forEach(p -> hosts.add(p.host));
    return hosts;
  }

  void expectAgreement() {
    assertThat(network.largestProbeBytes).as("bytes of a probe").isLessThanOrEqualTo(1400);
    for (int i = 0; i < size; i++) {
      if (up(i)) {
        assertThat(liveHostsAt(i)).as("live members at %s", i).isEqualTo(runningHosts());
        assertThat(services[i].configView().revision()).as("at %s", i).isEqualTo(acceptedRevision);
      }
    }
  }
}
