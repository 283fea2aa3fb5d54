package org.goldcrestfall.core.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The running daemons of a site as one control daemon knows them, with a number for each change, so
 * that watchers receive only what has changed. A daemon that is not seen for some time is removed.
 * Not thread-safe.
 */
public final class DaemonDirectory {

  /** A daemon that was not seen for this time is removed. */
  static final long EXPIRY_MILLIS = 6_000;

  /** Time for which a removal is kept for watchers that have not received it. */
  static final long REMOVAL_TTL_MILLIS = 30_000;

  /**
   * The difference between two states of a directory.
   *
   * @param complete whether {@code present} contains all daemons, so that others must be forgotten
   * @param present the daemons that are new or have changed
   * @param removed the addresses of the daemons that were removed
   * @param lastChange the number of the last change
   */
  public record Changes(
      boolean complete, List<SiteDaemon> present, List<String> removed, long lastChange) {}

  private static final class Entry {
    SiteDaemon daemon;
    long lastSeenMillis;
    long changeNumber;
    boolean removed;
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private long lastChange;

  /** The highest number of a removal that is no longer kept. */
  private long lastForgottenChange;

  /** Records that a daemon runs. */
  public void recordSeen(SiteDaemon daemon, long nowMillis) {
    Entry e = entries.computeIfAbsent(daemon.address(), a -> new Entry());
    e.lastSeenMillis = nowMillis;
    if (e.removed || !daemon.equals(e.daemon)) {
      e.daemon = daemon;
      e.removed = false;
      e.changeNumber = ++lastChange;
    }
  }

  /** Removes the daemons that were not seen for {@link #EXPIRY_MILLIS}. */
  public void expire(long nowMillis) {
    for (Iterator<Entry> i = entries.values().iterator(); i.hasNext(); ) {
      Entry e = i.next();
      long silentMillis = nowMillis - e.lastSeenMillis;
      if (!e.removed && silentMillis > EXPIRY_MILLIS) {
        e.removed = true;
        e.changeNumber = ++lastChange;
      } else if (e.removed && silentMillis > EXPIRY_MILLIS + REMOVAL_TTL_MILLIS) {
        lastForgottenChange = Math.max(lastForgottenChange, e.changeNumber);
        i.remove();
      }
    }
  }

  /** Returns what has changed after the change with this number; 0 for everything. */
  public Changes changesAfter(long number) {
    boolean complete = number == 0 || number < lastForgottenChange;
    List<SiteDaemon> present = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    if (number == lastChange && !complete) {
      return new Changes(false, present, removed, lastChange);
    }
    for (Entry e : entries.values()) {
      if (!complete && e.changeNumber <= number) {
        continue;
      }
      if (!e.removed) {
        present.add(e.daemon);
      } else if (!complete) {
        removed.add(e.daemon.address());
      }
    }
    return new Changes(complete, present, removed, lastChange);
  }
}
