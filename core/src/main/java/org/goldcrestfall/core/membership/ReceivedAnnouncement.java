package org.goldcrestfall.core.membership;

import org.goldcrestfall.core.membership.UpstreamAnnouncement.State;

/**
 * An announcement as known to this router. {@code announcedAtMillis} is the earliest time, on this
 * router's monotonic clock, at which any router can have received the announcement.
 */
public record ReceivedAnnouncement(UpstreamAnnouncement announcement, long announcedAtMillis) {

  /** Returns an upper bound of the age of the announcement in milliseconds. */
  public long ageMillis(long nowMillis) {
    return nowMillis - announcedAtMillis;
  }

  /** Returns an upper bound of the age of the reported load in milliseconds. */
  public long loadAgeMillis(long nowMillis) {
    return ageMillis(nowMillis) + announcement.load().ageMillis();
  }

  /** Returns whether the time to live of the announcement is over. */
  public boolean expired(long nowMillis) {
    return ageMillis(nowMillis) >= announcement.ttlMillis();
  }

  /** Returns whether new requests may be routed to the upstream. */
  public boolean routable(long nowMillis) {
    return announcement.state() == State.READY && !expired(nowMillis);
  }
}
