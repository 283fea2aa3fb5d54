package org.goldcrestfall.wire;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of the transport between daemons. Connections with daemons that have another cluster
 * name or another key are refused.
 *
 * @param host name of this host
 * @param bindAddress local address to bind
 * @param port port to bind; 0 for any free port
 * @param cluster name of the cluster
 * @param key shared key of at least {@link #MIN_KEY_BYTES} bytes
 */
public record PeerSettings(String host, String bindAddress, int port, String cluster, byte[] key) {

  /** Minimum length of the shared key. */
  public static final int MIN_KEY_BYTES = 16;

  /** Checks the arguments and copies the key. */
  public PeerSettings {
    checkArgument(!host.isEmpty(), "host must not be empty");
    checkArgument(!cluster.isEmpty(), "cluster must not be empty");
    checkArgument(port >= 0 && port <= 65535, "port must be 0 to 65535: %s", port);
    checkArgument(key.length >= MIN_KEY_BYTES, "key must have at least %s bytes", MIN_KEY_BYTES);
    key = key.clone();
  }
}
