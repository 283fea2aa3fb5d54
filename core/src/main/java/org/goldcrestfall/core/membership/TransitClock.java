package org.goldcrestfall.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Bounds how long a message was on its way, without clocks that agree. Each message carries a stamp
 * of its sender's clock and returns the newest stamp of the receiver with the time that the sender
 * has held it. The receiver knows the time since it wrote the stamp; less the holding time, this is
 * the time of both ways together and thus an upper bound of one.
 */
public final class TransitClock {

  /** Allows for clocks that run at different rates. */
  private static final long DRIFT_PER_MILLE = 1;

  /** An older stamp replaces a tighter one after this time. */
  private static final long REFRESH_MILLIS = 60_000;

  private final int id;
  private final Map<String, Heard> heard = new HashMap<>();

  /** A reading of the clock of a process; the zero point differs between processes. */
  public record Stamp(int clockId, long millis) {}

  /** A stamp of the receiver of a message, and how long the sender has held it. */
  public record Echo(Stamp stamp, long heldMillis) {}

  private record Heard(Stamp stamp, long atMillis) {}

  /**
   * Creates the clock of a process.
   *
   * @param id random number other than 0 that differs between processes
   */
  public TransitClock(int id) {
    this.id = id == 0 ? 1 : id;
  }

  /** Returns the stamp for a message that is sent now. */
  public Stamp stamp(long now) {
    return new Stamp(id, now);
  }

  /** Remembers the stamp of a message from {@code host}. */
  public void receive(String host, Stamp stamp, long now) {
    Heard h = heard.get(host);
    boolean tighter =
        h == null
            || h.stamp().clockId() != stamp.clockId()
            || stamp.millis() - now >= h.stamp().millis() - h.atMillis()
            || now - h.atMillis() >= REFRESH_MILLIS;
    if (tighter) {
      heard.put(host, new Heard(stamp, now));
    }
  }

  /** Returns the echo for a message to {@code host} that is sent now, or null. */
  public Echo echo(String host, long now) {
    Heard h = heard.get(host);
    return h == null ? null : new Echo(h.stamp(), now - h.atMillis());
  }

  /** Forgets a host. */
  public void remove(String host) {
    heard.remove(host);
  }

  /**
   * Returns an upper bound of the time that a received message was on its way, or nothing if its
   * echo is absent or was meant for another process.
   */
  public OptionalLong transitMillis(Echo echo, long now) {
    if (echo == null || echo.stamp().clockId() != id) {
      return OptionalLong.empty();
    }
    long since = now - echo.stamp().millis();
    long bound = since - echo.heldMillis() + since * DRIFT_PER_MILLE / 1000;
    return bound < 0 ? OptionalLong.empty() : OptionalLong.of(bound);
  }
}
