package org.goldcrestfall.daemon;

import com.google.common.base.Ascii;
import java.util.List;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.membership.ReceivedAnnouncement;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.daemon.control.ControlReplica;
import org.goldcrestfall.daemon.control.ControlStatus;
import org.goldcrestfall.daemon.http.FleetView;
import org.goldcrestfall.daemon.peer.PeerService;
import org.goldcrestfall.daemon.settings.Settings;

/** Reports the hosts and upstreams known by gossip, and the state of the control group. */
final class FleetReport implements FleetView {

  private final Settings settings;
  private final PeerService peers;
  private final ControlReplica controlReplica;
  private final MillisClock clock;

  /** Creates the report; {@code controlReplica} is null without the control role. */
  FleetReport(
      Settings settings, PeerService peers, ControlReplica controlReplica, MillisClock clock) {
    this.settings = settings;
    this.peers = peers;
    this.controlReplica = controlReplica;
    this.clock = clock;
  }

  @Override
  public List<HostState> hosts() {
    return peers.members().stream()
        .map(
            m ->
                new HostState(
                    m.host(),
                    m.boot(),
                    m.zone(),
                    m.address(),
                    Ascii.toLowerCase(m.status().name()),
                    m.configRevision()))
        .toList();
  }

  @Override
  public List<UpstreamState> upstreams() {
    long now = clock.nowMillis();
    return peers.upstreams().entries().stream()
        .map(received -> toUpstreamState(received, now))
        .toList();
  }

  private static UpstreamState toUpstreamState(ReceivedAnnouncement received, long now) {
    UpstreamAnnouncement a = received.announcement();
    String state = received.expired(now) ? "expired" : Ascii.toLowerCase(a.state().name());
    return new UpstreamState(
        a.name(),
        Ascii.toLowerCase(a.kind().name()),
        a.address(),
        a.zone(),
        state,
        received.ageMillis(now),
        a.models(),
        a.service(),
        (int) a.load().running(),
        (int) a.load().waiting(),
        (int) a.load().slots());
  }

  @Override
  public ControlState control() {
    List<String> members =
        settings.controlMembers().stream().map(m -> m.host() + "@" + m.address()).toList();
    if (controlReplica == null) {
      return new ControlState(settings.host(), "none", 0, "", 0, members);
    }
    ControlStatus status = controlReplica.status();
    return new ControlState(
        settings.host(),
        Ascii.toLowerCase(status.role().name()),
        status.term(),
        status.leaderAddress(),
        status.commitIndex(),
        status.members().all().stream()
            .map(m -> m.id() + "@" + m.address() + (m.voter() ? "" : " (learner)"))
            .toList());
  }
}
