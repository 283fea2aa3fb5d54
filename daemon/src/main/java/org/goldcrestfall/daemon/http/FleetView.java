package org.goldcrestfall.daemon.http;

import java.util.List;

/** What a daemon knows of the fleet, for operators. */
public interface FleetView {

  /** Returns the daemons with the configuration revision that each has confirmed. */
  List<HostState> hosts();

  /** Returns the upstreams that this daemon knows. */
  List<UpstreamState> upstreams();

  /** Returns this daemon's part in the control group. */
  ControlState control();

  /** A daemon as seen from here; {@code state} is alive, suspect, dead or left. */
  record HostState(
      String host, long boot, String zone, String address, String state, long configRevision) {}

  /** An upstream as seen from here. */
  record UpstreamState(
      String name,
      String kind,
      String address,
      String zone,
      String state,
      long ageMillis,
      List<String> models,
      String service,
      int running,
      int waiting,
      int slots) {}

  /** This daemon's view of the control group; {@code role} is none on a plain router. */
  record ControlState(
      String host, String role, long term, String leader, long commitIndex, List<String> members) {}
}
