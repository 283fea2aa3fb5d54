package org.goldcrestfall.daemon.control;

import static com.google.common.io.RecursiveDeleteOption.ALLOW_INSECURE;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.io.MoreFiles;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.consensus.GroupPolicy;
import org.goldcrestfall.core.consensus.Role;
import org.goldcrestfall.core.consensus.Timing;
import org.goldcrestfall.daemon.Await;
import org.goldcrestfall.daemon.storage.Disk;
import org.goldcrestfall.daemon.storage.FolderDisk;
import org.goldcrestfall.wire.PeerTransport;

/** Runs control members in one process, with a fake network and real data folders. */
final class FakeHosts implements AutoCloseable {

  static final Timing FAST_TIMING = new Timing(20, 200, 400, 150);
  private static final long TIMEOUT_SECONDS = 20;

  final FakeNetwork network = new FakeNetwork();
  final MillisClock clock = MillisClock.monotonic();
  private final Path folder;
  private final ImmutableSortedMap<String, String> addresses;
  private final int snapshotEntries;
  private final int founders;
  private final Map<String, ControlReplica> replicas = new HashMap<>();
  private final Set<String> startedOnce = new HashSet<>();

  FakeHosts(Path folder, int count, int snapshotEntries) {
    this(folder, count, snapshotEntries, 0);
  }

  private FakeHosts(Path folder, int count, int snapshotEntries, int founders) {
    this.folder = folder;
    this.snapshotEntries = snapshotEntries;
    this.founders = founders;
    ImmutableSortedMap.Builder<String, String> builder = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < count; i++) {
      builder.put("h" + i, "127.0.0.1:" + (9_000 + i));
    }
    addresses = builder.build();
  }

  /**
   * Creates the hosts of an open group. The first {@code founders} hosts form the group, and all
   * hosts know only their addresses at first.
   */
  static FakeHosts open(Path folder, int count, int founders) {
    return open(folder, count, founders, 1_000);
  }

  /** Creates the hosts of an open group that take a snapshot after each {@code snapshotEntries}. */
  static FakeHosts open(Path folder, int count, int founders, int snapshotEntries) {
    return new FakeHosts(folder, count, snapshotEntries, founders);
  }

  private ControlSettings settings(String host, boolean firstStart) {
    if (founders == 0) {
      return ControlSettings.of(host, addresses, FAST_TIMING, snapshotEntries, Long.MAX_VALUE);
    }
    List<String> seeds = addresses.values().asList().subList(0, founders);
    boolean forms = firstStart && seeds.contains(addresses.get(host));
    ImmutableSortedMap.Builder<String, String> members = ImmutableSortedMap.naturalOrder();
    seeds.forEach(a -> members.put(a, a));
    return new ControlSettings(
        host,
        addresses.get(host),
        forms ? members.build() : ImmutableSortedMap.of(),
        () -> seeds,
        GroupPolicy.openGroup(2),
        FAST_TIMING,
        snapshotEntries,
        Long.MAX_VALUE);
  }

  void startAll() throws IOException {
    for (String host : addresses.keySet()) {
      start(host);
    }
  }

  ControlReplica start(String host) throws IOException {
    return start(host, new FolderDisk(folder.resolve(host)));
  }

  ControlReplica start(String host, Disk disk) throws IOException {
    PeerTransport transport = network.connect(host, addresses.get(host));
    ControlSettings settings = settings(host, startedOnce.add(host));
    ControlReplica replica =
        ControlReplica.open(
            settings, disk, new ListStateMachine(), transport, clock, host.hashCode());
    replicas.put(host, replica);
    return replica;
  }

  /** Stops a member without letting it send further messages, as if its process had been killed. */
  void stop(String host) {
    network.isolate(addresses.get(host));
    replicas.remove(host).close();
    network.connect(host, addresses.get(host)).close();
    network.heal();
  }

  void loseDisk(String host) throws IOException {
    MoreFiles.deleteRecursively(folder.resolve(host), ALLOW_INSECURE);
  }

  Path folderOf(String host) {
    return folder.resolve(host);
  }

  ControlReplica replica(String host) {
    return replicas.get(host);
  }

  String address(String host) {
    return addresses.get(host);
  }

  String awaitLeader() {
    List<String> leader = new ArrayList<>();
    await(
        () -> {
          replicas.forEach(
              (host, replica) -> {
                if (replica.isLeaderWithLease(clock.nowMillis())) {
                  leader.add(host);
                }
              });
          return !leader.isEmpty();
        });
    return leader.get(0);
  }

  /** Returns a client in the same process as a member. */
  ControlClient localClient(String host) {
    return new ControlClient(
        addresses.values().asList(),
        network.transport(addresses.get(host)),
        clock,
        replicas.get(host));
  }

  /** Returns a client on a host that is not a member. */
  ControlClient client() {
    PeerTransport transport = network.connect("router", "127.0.0.1:8999");
    return new ControlClient(addresses.values().asList(), transport, clock, null);
  }

  static String submit(ControlClient client, String command) throws Exception {
    byte[] reply =
        client
            .submit(command.getBytes(UTF_8), TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS))
            .get(2 * TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return new String(reply, UTF_8);
  }

  static String read(ControlClient client) throws Exception {
    byte[] reply =
        client
            .query(new byte[0], TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS))
            .get(2 * TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return new String(reply, UTF_8);
  }

  static void await(BooleanSupplier condition) {
    Await.await(condition, TIMEOUT_SECONDS);
  }

  boolean isLeader(String host) {
    return replicas.get(host).status().role() == Role.LEADER;
  }

  @Override
  public void close() {
    replicas.values().forEach(ControlReplica::close);
  }
}
