package org.goldcrestfall.core.membership;

import java.util.List;

/**
 * The known upstreams at one point in time. Expiry is evaluated when the snapshot is read, so it
 * takes effect even while the thread that maintains the directory is blocked.
 */
public record UpstreamSnapshot(List<ReceivedAnnouncement> entries) {

  /** A snapshot without upstreams. */
  public static final UpstreamSnapshot EMPTY = new UpstreamSnapshot(List.of());

  /** Copies the list of entries. */
  public UpstreamSnapshot {
    entries = List.copyOf(entries);
  }

  /** Returns the upstreams to which new requests may be routed at {@code nowMillis}. */
  public List<ReceivedAnnouncement> routable(long nowMillis) {
    return entries.stream().filter(e -> e.routable(nowMillis)).toList();
  }
}
