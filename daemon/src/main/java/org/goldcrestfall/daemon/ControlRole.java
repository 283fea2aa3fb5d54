package org.goldcrestfall.daemon;

import com.google.common.collect.ImmutableSortedMap;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.pekko.actor.typed.ActorSystem;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.consensus.Timing;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.membership.UpstreamEntry;
import org.goldcrestfall.core.order.OrderController;
import org.goldcrestfall.core.order.OrderSettings;
import org.goldcrestfall.daemon.control.ControlGroup;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.control.ControlSettings;
import org.goldcrestfall.daemon.control.ControlStateMachine;
import org.goldcrestfall.daemon.control.ControlStatus;
import org.goldcrestfall.daemon.order.OrderService;
import org.goldcrestfall.daemon.peer.PeerService;
import org.goldcrestfall.daemon.settings.Settings;
import org.goldcrestfall.daemon.storage.FolderDisk;
import org.goldcrestfall.daemon.upstream.ServiceClient;
import org.goldcrestfall.wire.PeerTransport;

/** The parts of a daemon that is a member of the control group. */
final class ControlRole implements AutoCloseable {

  private static final long WEIGHT_LOAD_BURST = 1;
  private static final int ORDER_ATTEMPTS = 3;
  private static final long ORDER_TICK_MILLIS = 100;

  private final Settings settings;
  private final MillisClock clock;
  private final ControlStateMachine machine = new ControlStateMachine();
  private final ControlGroup group;

  /**
   * Opens the member's data folder and starts the member.
   *
   * @throws IOException if the data folder cannot be used
   */
  ControlRole(Settings settings, PeerTransport transport, MillisClock clock, long seed)
      throws IOException {
    this.settings = settings;
    this.clock = clock;
    Map<String, String> members =
        settings.controlMembers().stream()
            .collect(
                ImmutableSortedMap.toImmutableSortedMap(
                    String::compareTo,
                    Settings.ControlMember::host,
                    Settings.ControlMember::address));
    Path folder = settings.dataFolder().orElseThrow().resolve("control");
    group =
        ControlGroup.open(
            ControlSettings.of(settings.host(), members),
            new FolderDisk(folder),
            machine,
            transport,
            clock,
            seed);
  }

  ControlGroup group() {
    return group;
  }

  ControlStateMachine machine() {
    return machine;
  }

  /** Starts sending queued orders to engines whenever this member leads. */
  void startOrders(
      ActorSystem<?> system,
      PeerService peers,
      ControlService control,
      MillisClock utc,
      ScheduledExecutorService timer) {
    OrderSettings orders =
        new OrderSettings(
            Timing.REGION.leaseMillis(),
            settings.orders().timeoutMillis(),
            settings.orders().weightLoadsPerMinute(),
            WEIGHT_LOAD_BURST,
            ORDER_ATTEMPTS);
    OrderService service =
        new OrderService(
            new OrderController(orders),
            group::status,
            machine::queuedOrders,
            name -> engine(peers, name),
            new ServiceClient(system),
            control,
            new OrderService.Clocks(clock, utc),
            settings.orders().timeoutMillis());
    RouterRole.every(timer, ORDER_TICK_MILLIS, service::tick);
  }

  private static Optional<OrderService.Engine> engine(PeerService peers, String name) {
    return peers.upstreams().entries().stream()
        .map(UpstreamEntry::announcement)
        .filter(a -> a.name().equals(name) && a.kind() == UpstreamAnnouncement.Kind.ENGINE)
        .map(a -> new OrderService.Engine(a.address(), a.checksFencing()))
        .findFirst();
  }

  /** Returns one sentence for each reason why the member is not ready. */
  List<String> notReadyReasons() {
    ControlStatus s = group.status();
    if (s.isReady()) {
      return List.of();
    }
    String fault = s.diskFault().isEmpty() ? "" : ": disk fault: " + s.diskFault();
    return List.of("the control member is not ready" + fault);
  }

  @Override
  public void close() {
    group.close();
  }
}
