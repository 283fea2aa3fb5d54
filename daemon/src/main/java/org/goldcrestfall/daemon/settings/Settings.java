package org.goldcrestfall.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The validated settings of a daemon. */
public record Settings(
    String host,
    String zone,
    String cluster,
    Set<Role> roles,
    Http http,
    Peer peer,
    List<String> seeds,
    List<ControlMember> controlMembers,
    Optional<Path> dataFolder,
    List<Operator> operators,
    String upstreamKeySha256,
    Log log,
    Limits limits,
    Drain drain,
    Orders orders) {

  /** Listening address of the HTTP server. */
  public record Http(String address, int port) {}

  /** Listening address for other daemons, and the shared key of the cluster. */
  public record Peer(String address, int port, String key) {

    /** Returns the address in the form {@code ip:port}. */
    public String endpoint() {
      return address + ":" + port;
    }
  }

  /** An initial member of the control group. */
  public record ControlMember(String host, String address) {}

  /** An operator and the SHA-256 of the operator's token in hex. */
  public record Operator(String name, String tokenSha256) {}

  /** Format ({@code text} or {@code json}) and level of the log. */
  public record Log(String format, String level) {}

  /** Bounds on requests and queues. */
  public record Limits(
      int maxBodyBytes,
      int maxHeaderBytes,
      int maxQueuedRequests,
      int maxQueuedBytes,
      int maxOutputTokens,
      int defaultOutputTokens,
      int maxConnections) {}

  /**
   * Graceful shutdown: how long the daemon still accepts requests after {@code /readyz} has started
   * to report not ready, and the longest wait for open requests.
   */
  public record Drain(long notReadyMillis, long maxMillis) {}

  /** Orders to engines: the timeout of one order, and the limit on loads from the weight store. */
  public record Orders(long timeoutMillis, int weightLoadsPerMinute) {}

  /** Returns whether the daemon has the role. */
  public boolean has(Role role) {
    return roles.contains(role);
  }
}
