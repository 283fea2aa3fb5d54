package org.goldcrestfall.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableSortedMap;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.daemon.control.ControlReplica;
import org.goldcrestfall.daemon.control.ControlSettings;
import org.goldcrestfall.daemon.control.StateMachine;
import org.goldcrestfall.daemon.storage.FolderDisk;
import org.goldcrestfall.wire.NettyPeerTransport;
import org.goldcrestfall.wire.PeerSettings;
import org.goldcrestfall.wire.TransportListener;

/**
 * A control group whose members run in one process, each with its own data folder, and are
 * connected over loopback.
 */
final class BenchControlGroup implements AutoCloseable {

  private static final byte[] CLUSTER_KEY = "key of the benchmark".getBytes(UTF_8);
  private static final long POLL_MILLIS = 1;

  private final MillisClock clock = MillisClock.monotonic();
  private final List<NettyPeerTransport> transports = new ArrayList<>();
  private final List<ControlReplica> replicas = new ArrayList<>();

  BenchControlGroup(Path folder, List<? extends StateMachine> machines) throws IOException {
    ImmutableSortedMap.Builder<String, String> members = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < machines.size(); i++) {
      try (ServerSocket socket = new ServerSocket(0)) {
        members.put("m" + i, "127.0.0.1:" + socket.getLocalPort());
      }
    }
    ImmutableSortedMap<String, String> addresses = members.build();
    for (int i = 0; i < machines.size(); i++) {
      String host = "m" + i;
      int port = Integer.parseInt(addresses.get(host).split(":")[1]);
      PeerSettings peer = new PeerSettings(host, "127.0.0.1", port, "bench", CLUSTER_KEY);
      NettyPeerTransport transport = new NettyPeerTransport(peer, TransportListener.NONE);
      transports.add(transport);
      replicas.add(
          ControlReplica.open(
              ControlSettings.of(host, addresses),
              new FolderDisk(folder.resolve(host)),
              machines.get(i),
              transport,
              clock,
              i));
    }
  }

  /** Waits until a member leads with a lease, and returns a client local to that member. */
  ControlClient awaitLeader() throws InterruptedException {
    while (true) {
      for (int i = 0; i < replicas.size(); i++) {
        if (replicas.get(i).isLeaderWithLease(clock.nowMillis())) {
          List<String> addresses = replicas.stream().map(ControlReplica::address).toList();
          return new ControlClient(addresses, transports.get(i), clock, replicas.get(i));
        }
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  ControlReplica member(int number) {
    return replicas.get(number);
  }

  @Override
  public void close() {
    replicas.forEach(ControlReplica::close);
    transports.forEach(NettyPeerTransport::close);
  }
}
