package org.goldcrestfall.daemon.peer;

import java.nio.file.Path;
import java.util.List;

/**
 * Options of a {@link PeerService}.
 *
 * @param address address at which other daemons reach this one
 * @param seeds addresses at which other daemons may be found
 * @param controlMembers addresses of all control members
 * @param dataFolder folder for the configuration, or null
 * @param seed seed of the random order of probes
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
