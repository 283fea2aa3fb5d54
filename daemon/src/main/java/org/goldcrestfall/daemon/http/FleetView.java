package org.goldcrestfall.daemon.http;

import java.util.List;

/** The state of the cluster as known to a daemon, for the operator API. */
public interface FleetView {

  /** Returns the daemons, each with the configuration revision that it has confirmed. */
  List<HostState> hosts();

  /** Returns the upstreams that this daemon knows. */
  List<UpstreamState> upstreams();

  /** Returns this daemon's view of the control group. */
  ControlState control();

  /** A daemon as known here. {@code state} is alive, suspect, dead or left. */
  record HostState(
      String host, long boot, String zone, String address, String state, long configRevision) {}

  /** An upstream as known here. {@code ageMillis} is the age of its announcement. */
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

  /**
   * This daemon's view of the control group. {@code role} is none on a daemon that is not a member
   * of the group.
   */
  record ControlState(
      String host, String role, long term, String leader, long commitIndex, List<String> members) {}
}
