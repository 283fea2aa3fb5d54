package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times of the protocol in milliseconds. A lease is shorter than the shortest election timeout,
 * so that clocks may run at rates that differ by the ratio of the two.
 */
public record Timing(
    long heartbeatMillis, long electionMinMillis, long electionMaxMillis, long leaseMillis) {

  /** The times for hosts of one region. */
  public static final Timing REGION = new Timing(100, 800, 1_600, 600);

  /** The times for small hosts of one region, which wake up seldom. */
  public static final Timing SMALL_HOSTS = new Timing(200, 900, 1_700, 700);

  /** Checks the arguments. */
  public Timing {
    checkArgument(heartbeatMillis > 0, "heartbeat must be positive: %s", heartbeatMillis);
    checkArgument(
        heartbeatMillis < leaseMillis
            && leaseMillis < electionMinMillis
            && electionMinMillis < electionMaxMillis,
        "heartbeat < lease < shortest < longest election timeout does not hold");
  }
}
