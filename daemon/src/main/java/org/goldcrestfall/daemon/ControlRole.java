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
import org.goldcrestfall.core.membership.ReceivedAnnouncement;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.order.OrderController;
import org.goldcrestfall.core.order.OrderSettings;
import org.goldcrestfall.daemon.control.ControlReplica;
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

/**
 * Runs the control role of a daemon: its member of the control group and, while that member is the
 * leader, the delivery of orders to engines.
 */
final class ControlRole implements AutoCloseable {

  /** Number of model loads from the weight store that may start at the same time. */
  private static final long WEIGHT_LOAD_BURST = 1;

  private static final int MAX_ORDER_ATTEMPTS = 3;
  private static final long ORDER_TICK_INTERVAL_MILLIS = 100;

  private final Settings settings;
  private final MillisClock clock;
  private final ControlStateMachine stateMachine = new ControlStateMachine();
  private final ControlReplica controlReplica;

  /**
   * Opens the data folder of the control member and starts the member.
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
    controlReplica =
        ControlReplica.open(
            ControlSettings.of(settings.host(), members),
            new FolderDisk(folder),
            stateMachine,
            transport,
            clock,
            seed);
  }

  ControlReplica controlReplica() {
    return controlReplica;
  }

  ControlStateMachine stateMachine() {
    return stateMachine;
  }

  /**
   * Schedules the delivery of queued orders, which are sent only while this member is the leader.
   */
  void scheduleOrderDelivery(
      ActorSystem<?> system,
      PeerService peers,
      ControlService controlService,
      MillisClock utcClock,
      ScheduledExecutorService timer) {
    OrderSettings orderSettings =
        new OrderSettings(
            Timing.REGION.leaseMillis(),
            settings.orders().timeoutMillis(),
            settings.orders().weightLoadsPerMinute(),
            WEIGHT_LOAD_BURST,
            MAX_ORDER_ATTEMPTS);
    OrderService service =
        new OrderService(
            new OrderController(orderSettings),
            controlReplica::status,
            stateMachine::queuedOrders,
            name -> findEngine(peers, name),
            new ServiceClient(system),
            controlService,
            new OrderService.Clocks(clock, utcClock),
            settings.orders().timeoutMillis());
    PeriodicTasks.schedule(timer, ORDER_TICK_INTERVAL_MILLIS, service::tick);
  }

  private static Optional<OrderService.Engine> findEngine(PeerService peers, String name) {
    return peers.upstreams().entries().stream()
        .map(ReceivedAnnouncement::announcement)
        .filter(a -> a.name().equals(name) && a.kind() == UpstreamAnnouncement.Kind.ENGINE)
        .map(a -> new OrderService.Engine(a.address(), a.checksFencing()))
        .findFirst();
  }

  /** Returns the reasons why the member is not ready, one sentence each; empty if it is ready. */
  List<String> notReadyReasons() {
    ControlStatus status = controlReplica.status();
    if (status.isReady()) {
      return List.of();
    }
    String diskFault = status.diskFault().isEmpty() ? "" : ": disk fault: " + status.diskFault();
    return List.of("the control member is not ready" + diskFault);
  }

  @Override
  public void close() {
    controlReplica.close();
  }
}
