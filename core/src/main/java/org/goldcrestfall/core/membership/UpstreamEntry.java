package org.goldcrestfall.core.membership;

import org.goldcrestfall.core.membership.UpstreamAnnouncement.State;

/**
 * An announcement as this router holds it. {@code announcedAtMillis} is the earliest time, on this
 * router's clock, at which the announcement can have reached the first router.
 */
public record UpstreamEntry(UpstreamAnnouncement announcement, long announcedAtMillis) {

  /** Returns the age of the announcement; it is never less than the true age. */
  public long ageMillis(long now) {
    return now - announcedAtMillis;
  }

  /** Returns the age of the load report. */
  public long loadAgeMillis(long now) {
    return ageMillis(now) + announcement.load().ageMillis();
  }

  /** Returns whether the time to live has passed. */
  public boolean expired(long now) {
    return ageMillis(now) >= announcement.ttlMillis();
  }

  /** Returns whether the upstream may be given new work. */
  public boolean routable(long now) {
    return announcement.state() == State.READY && !expired(now);
  }
}
