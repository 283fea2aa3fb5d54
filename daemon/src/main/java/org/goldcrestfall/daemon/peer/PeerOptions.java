package org.goldcrestfall.daemon.peer;

import java.nio.file.Path;
import java.util.List;

/**
 * Options of a {@link PeerService}.
 *
 * @param host name of the host of this daemon
 * @param zone availability zone of the host
 * @param address address at which other daemons reach this one
 * @param seeds addresses of daemons to join through
 * @param controlMembers addresses of all control members
 * @param dataFolder folder in which the configuration is stored, or null to not store it
 * @param seed seed of random choices, such as the order of probes
 */
public record PeerOptions(
    String host,
    String zone,
    String address,
    List<String> seeds,
    List<String> controlMembers,
    Path dataFolder,
    long seed) {

  /** Copies the lists. */
  public PeerOptions {
    seeds = List.copyOf(seeds);
    controlMembers = List.copyOf(controlMembers);
  }
}
