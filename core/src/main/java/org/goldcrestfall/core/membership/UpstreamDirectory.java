package org.goldcrestfall.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.goldcrestfall.core.membership.UpstreamAnnouncement.State;

/**
 * The newest announcement of every upstream. An announcement is forwarded with its age, which never
 * decreases. No router uses it for longer than its time to live, counted from its arrival at the
 * first router, however many routers forward it.
 */
public final class UpstreamDirectory {

  /**
   * How long an entry is kept after its expiry, so that it can be displayed and older announcements
   * are still recognized. A READY announcement that is delayed for longer has expired when it
   * arrives.
   */
  static final long RETENTION_MILLIS = 60_000;

  /** Age to pass to {@link #accept} if the transit time of a message is unknown. */
  public static final long UNKNOWN_AGE_MILLIS = UpstreamAnnouncement.MAX_TTL_MILLIS;

  private final Map<String, ReceivedAnnouncement> announcements = new TreeMap<>();

  /** Announcements without cache events by name, as sent to other routers. */
  private final Map<String, UpstreamAnnouncement> announcementsWithoutCacheEvents = new HashMap<>();

  private final BroadcastQueue broadcasts = new BroadcastQueue();
  private UpstreamSnapshot snapshot = UpstreamSnapshot.EMPTY;

  /** An announcement and its age, to be sent to another router. */
  public record AgedAnnouncement(UpstreamAnnouncement announcement, long ageMillis) {}

  /**
   * Adds an announcement and returns whether it is newer than the known one.
   *
   * @param ageMillis upper bound of the time since the announcement reached the first router
   */
  public boolean accept(UpstreamAnnouncement announcement, long ageMillis, long nowMillis) {
    ReceivedAnnouncement known = announcements.get(announcement.name());
    ReceivedAnnouncement received =
        new ReceivedAnnouncement(announcement, nowMillis - Math.max(0, ageMillis));
    if (known == null || announcement.newerThan(known.announcement())) {
      put(received);
      broadcasts.add(announcement.name());
      return true;
    }
    boolean same = !known.announcement().newerThan(announcement);
    if (same && received.announcedAtMillis() > known.announcedAtMillis()) {
      // The same announcement was received over a faster path, which gives a tighter bound of its
      // age.
      put(new ReceivedAnnouncement(known.announcement(), received.announcedAtMillis()));
    }
    return false;
  }

  private void put(ReceivedAnnouncement received) {
    String name = received.announcement().name();
    ReceivedAnnouncement known = announcements.put(name, received);
    if (known == null || known.announcement() != received.announcement()) {
      announcementsWithoutCacheEvents.put(name, received.announcement().withoutCacheEvents());
    }
    snapshot = null;
  }

  /** Removes the announcements whose retention is over. */
  public void tick(long nowMillis) {
    boolean removed =
        announcements
            .values()
            .removeIf(
                received ->
                    received.ageMillis(nowMillis)
                        >= received.announcement().ttlMillis() + RETENTION_MILLIS);
    if (removed) {
      announcementsWithoutCacheEvents.keySet().retainAll(announcements.keySet());
      snapshot = null;
    }
  }

  /** Returns all announcements, including those of expired and leaving upstreams. */
  public UpstreamSnapshot snapshot() {
    if (snapshot == null) {
      snapshot = new UpstreamSnapshot(List.copyOf(announcements.values()));
    }
    return snapshot;
  }

  /**
   * Returns changes to piggyback on a message, without cache events.
   *
   * @param maxBytes maximum encoded size of all returned announcements
   * @param encodedBytes encoded size of an announcement
   * @param members number of routers that the changes have to reach
   */
  public List<AgedAnnouncement> nextUpdates(
      int maxBytes, ToIntFunction<UpstreamAnnouncement> encodedBytes, int members, long nowMillis) {
    if (broadcasts.isEmpty()) {
      return List.of();
    }
    List<AgedAnnouncement> updates = new ArrayList<>();
    for (String name :
        broadcasts.next(maxBytes, n -> encodedBytes(n, encodedBytes, nowMillis), members)) {
      ReceivedAnnouncement received = announcements.get(name);
      if (shouldSend(received, nowMillis)) {
        updates.add(
            new AgedAnnouncement(
                announcementsWithoutCacheEvents.get(name), received.ageMillis(nowMillis)));
      }
    }
    return updates;
  }

  private int encodedBytes(
      String name, ToIntFunction<UpstreamAnnouncement> encodedBytes, long nowMillis) {
    ReceivedAnnouncement received = announcements.get(name);
    return shouldSend(received, nowMillis)
        ? encodedBytes.applyAsInt(announcementsWithoutCacheEvents.get(name))
        : 0;
  }

  /**
   * Returns the announcements for a router that may have missed changes: those that have not
   * expired, and those of leaving upstreams.
   */
  public List<AgedAnnouncement> updatesForFullExchange(long nowMillis) {
    List<AgedAnnouncement> all = new ArrayList<>();
    for (ReceivedAnnouncement received : announcements.values()) {
      if (shouldSend(received, nowMillis)) {
        all.add(
            new AgedAnnouncement(
                announcementsWithoutCacheEvents.get(received.announcement().name()),
                received.ageMillis(nowMillis)));
      }
    }
    return all;
  }

  private static boolean shouldSend(ReceivedAnnouncement received, long nowMillis) {
    return received != null
        && (!received.expired(nowMillis) || received.announcement().state() == State.LEAVING);
  }
}
