package org.goldcrestfall.core.membership;

import java.util.List;

/**
 * The upstreams at one moment. Expiry is decided when the snapshot is read, so it also takes effect
 * while the thread that maintains the directory does not run.
 */
public record UpstreamSnapshot(List<UpstreamEntry> entries) {

  /** A snapshot without upstreams. */
  public static final UpstreamSnapshot EMPTY = new UpstreamSnapshot(List.of());

  /** Copies the list. */
  public UpstreamSnapshot {
    entries = List.copyOf(entries);
  }

  /** Returns the upstreams that may be given new work at {@code now}. */
  public List<UpstreamEntry> routable(long now) {
    return entries.stream().filter(e -> e.routable(now)).toList();
  }
}
