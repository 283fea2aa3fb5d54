package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The intervals and timeouts of the protocol in milliseconds. A lease is shorter than the shortest
 * election timeout, so the rates of two clocks may differ by the ratio of the two.
 */
public record Timing(
    long heartbeatMillis, long electionMinMillis, long electionMaxMillis, long leaseMillis) {

  /** The timing for hosts in one region. */
  public static final Timing REGION = new Timing(100, 800, 1_600, 600);

  /** The timing for small hosts in one region: longer intervals, as such hosts wake up rarely. */
  public static final Timing SMALL_HOSTS = new Timing(200, 900, 1_700, 700);

  /** Checks the arguments. */
  public Timing {
    checkArgument(heartbeatMillis > 0, "heartbeatMillis must be positive: %s", heartbeatMillis);
    checkArgument(
        heartbeatMillis < leaseMillis
            && leaseMillis < electionMinMillis
            && electionMinMillis < electionMaxMillis,
        "heartbeat < lease < shortest < longest election timeout must hold");
  }
}
