package org.goldcrestfall.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates an upper bound of the transit time of a message without synchronized clocks. Each
 * message carries a timestamp of its sender's clock and echoes a timestamp of the receiver's clock,
 * together with the time for which the sender has held it. The time since the receiver wrote the
 * echoed timestamp, less the holding time, is the round-trip time and thus an upper bound of the
 * transit time in one direction.
 */
public final class TransitTimeEstimator {

  /** Tolerated difference between the rates of two clocks. */
  private static final long MAX_DRIFT_PER_MILLE = 1;

  /** Time after which a stamp is replaced by a newer one that gives a looser bound. */
  private static final long REFRESH_MILLIS = 60_000;

  private final int clockId;
  private final Map<String, ReceivedStamp> receivedStampByHost = new HashMap<>();

  /** A timestamp of the clock of a process; the zero point differs between processes. */
  public record Stamp(int clockId, long millis) {}

  /** A stamp that the receiver of a message had sent, and how long the sender has held it. */
  public record Echo(Stamp stamp, long heldMillis) {}

  private record ReceivedStamp(Stamp stamp, long receivedAtMillis) {}

  /**
   * Creates the estimator of a process.
   *
   * @param clockId random number that identifies the clock of the process; 0 is replaced by 1
   */
  public TransitTimeEstimator(int clockId) {
    this.clockId = clockId == 0 ? 1 : clockId;
  }

  /** Returns the stamp for a message that is sent now. */
  public Stamp stamp(long nowMillis) {
    return new Stamp(clockId, nowMillis);
  }

  /** Records the stamp of a message from {@code host}. */
  public void receive(String host, Stamp stamp, long nowMillis) {
    ReceivedStamp r = receivedStampByHost.get(host);
    boolean replaces =
        r == null
            || r.stamp().clockId() != stamp.clockId()
            || stamp.millis() - nowMillis >= r.stamp().millis() - r.receivedAtMillis()
            || nowMillis - r.receivedAtMillis() >= REFRESH_MILLIS;
    if (replaces) {
      receivedStampByHost.put(host, new ReceivedStamp(stamp, nowMillis));
    }
  }

  /**
   * Returns the echo for a message that is sent to {@code host} now, or null if it has no stamp.
   */
  public Echo echo(String host, long nowMillis) {
    ReceivedStamp r = receivedStampByHost.get(host);
    return r == null ? null : new Echo(r.stamp(), nowMillis - r.receivedAtMillis());
  }

  /** Removes the stamp of a host. */
  public void remove(String host) {
    receivedStampByHost.remove(host);
  }

  /**
   * Returns an upper bound of the transit time of a received message in milliseconds, or empty if
   * its echo is missing, inconsistent or holds a stamp of another process.
   */
  public OptionalLong transitMillis(Echo echo, long nowMillis) {
    if (echo == null || echo.stamp().clockId() != clockId) {
      return OptionalLong.empty();
    }
    long sinceStampMillis = nowMillis - echo.stamp().millis();
    long boundMillis =
        sinceStampMillis - echo.heldMillis() + sinceStampMillis * MAX_DRIFT_PER_MILLE / 1000;
    return boundMillis < 0 ? OptionalLong.empty() : OptionalLong.of(boundMillis);
  }
}
