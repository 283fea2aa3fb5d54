package org.goldcrestfall.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.goldcrestfall.core.membership.UpstreamAnnouncement.State;

/**
 * The newest announcement of every upstream. The age of an announcement travels with it and only
 * grows, so however many routers pass it on, no router uses it longer than its time to live after
 * it reached the first one.
 */
public final class UpstreamDirectory {

  /**
   * How long an entry stays after its expiry, to be shown and to keep the order of announcements. A
   * ready announcement that arrives later than that is expired by its age.
   */
  static final long RETENTION_MILLIS = 60_000;

  /** Age to pass to {@link #accept} where nothing is known about the way of a message. */
  public static final long UNKNOWN_AGE_MILLIS = UpstreamAnnouncement.MAX_TTL_MILLIS;

  private final Map<String, UpstreamEntry> entries = new TreeMap<>();

  /** The announcements without cache events, as other routers get them. */
  private final Map<String, UpstreamAnnouncement> light = new HashMap<>();

  private final SpreadQueue queue = new SpreadQueue();
  private UpstreamSnapshot snapshot = UpstreamSnapshot.EMPTY;

  /** An announcement with its age, to be sent to another router. */
  public record Delta(UpstreamAnnouncement announcement, long ageMillis) {}

  /**
   * Takes in an announcement and returns whether it is newer than the known one.
   *
   * @param ageMillis upper bound of the time since the announcement reached the first router
   */
  public boolean accept(UpstreamAnnouncement announcement, long ageMillis, long now) {
    UpstreamEntry known = entries.get(announcement.name());
    UpstreamEntry entry = new UpstreamEntry(announcement, now - Math.max(0, ageMillis));
    if (known == null || announcement.newerThan(known.announcement())) {
      put(entry);
      queue.add(announcement.name());
      return true;
    }
    boolean same = !known.announcement().newerThan(announcement);
    if (same && entry.announcedAtMillis() > known.announcedAtMillis()) {
      // The same announcement on a faster way has a tighter bound of its age.
      put(new UpstreamEntry(known.announcement(), entry.announcedAtMillis()));
    }
    return false;
  }

  private void put(UpstreamEntry entry) {
    String name = entry.announcement().name();
    UpstreamEntry known = entries.put(name, entry);
    if (known == null || known.announcement() != entry.announcement()) {
      light.put(name, entry.announcement().withoutCacheEvents());
    }
    snapshot = null;
  }

  /** Drops entries whose retention is over. */
  public void tick(long now) {
    boolean removed =
        entries
            .values()
            .removeIf(e -> e.ageMillis(now) >= e.announcement().ttlMillis() + RETENTION_MILLIS);
    if (removed) {
      light.keySet().retainAll(entries.keySet());
      snapshot = null;
    }
  }

  /** Returns the entries, expired and leaving ones included. */
  public UpstreamSnapshot snapshot() {
    if (snapshot == null) {
      snapshot = new UpstreamSnapshot(List.copyOf(entries.values()));
    }
    return snapshot;
  }

  /**
   * Returns changes to piggyback on a message, without cache events.
   *
   * @param bytes encoded size of an announcement
   * @param members number of routers that the change has to reach
   */
  public List<Delta> deltas(
      int maxBytes, ToIntFunction<UpstreamAnnouncement> bytes, int members, long now) {
    if (queue.isEmpty()) {
      return List.of();
    }
    List<Delta> deltas = new ArrayList<>();
    for (String name : queue.next(maxBytes, n -> size(n, bytes, now), members)) {
      UpstreamEntry e = entries.get(name);
      if (worthSending(e, now)) {
        deltas.add(new Delta(light.get(name), e.ageMillis(now)));
      }
    }
    return deltas;
  }

  private int size(String name, ToIntFunction<UpstreamAnnouncement> bytes, long now) {
    UpstreamEntry e = entries.get(name);
    return worthSending(e, now) ? bytes.applyAsInt(light.get(name)) : 0;
  }

  /** Returns everything that is useful to a router that may have missed changes. */
  public List<Delta> all(long now) {
    List<Delta> all = new ArrayList<>();
    for (UpstreamEntry e : entries.values()) {
      if (worthSending(e, now)) {
        all.add(new Delta(light.get(e.announcement().name()), e.ageMillis(now)));
      }
    }
    return all;
  }

  private static boolean worthSending(UpstreamEntry e, long now) {
    return e != null && (!e.expired(now) || e.announcement().state() == State.LEAVING);
  }
}
