package org.goldcrestfall.core.registry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest announcement of each upstream. Merging is commutative and idempotent, so registries
 * that exchange their entries become equal. An address belongs to the upstream that started last on
 * it. Not thread-safe.
 */
public final class UpstreamRegistry {

  /** Departed upstreams are remembered so long, to refuse their late announcements. */
  static final long TOMBSTONE_TTL_MILLIS = 120_000;

  private static final class TrackedUpstream {
    UpstreamEntry entry;
    long changeNumber;
    long updatedAtMillis;
  }

  private final Map<String, TrackedUpstream> upstreams = new HashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private long change;

  /** Merges an announcement; returns whether routers have to know of it. */
  public boolean merge(UpstreamEntry entry, long nowMillis) {
    TrackedUpstream slot = upstreams.get(entry.id());
    if (slot != null && !entry.isNewerThan(slot.entry)) {
      return false;
    }
    final boolean differs = slot == null || entry.differsFrom(slot.entry);
    if (slot == null) {
      slot = new TrackedUpstream();
      upstreams.put(entry.id(), slot);
    }
    slot.entry = entry;
    slot.updatedAtMillis = nowMillis;
    if (!differs) {
      return false;
    }
    slot.changeNumber = ++change;
    if (entry.state() != UpstreamState.GONE) {
      claimAddress(entry);
    }
    return true;
  }

  private void claimAddress(UpstreamEntry entry) {
    String holderId = idByAddress.put(entry.address(), entry.id());
    TrackedUpstream holder = holderId == null || holderId.equals(entry.id()) ? null : upstreams.get(holderId);
    if (holder == null || !holder.entry.address().equals(entry.address())) {
      return;
    }
    // Of two upstreams on one address the one that started first has ended.
    boolean holderIsNewer = holder.entry.startedAtMillis() > entry.startedAtMillis();
    TrackedUpstream ended = holderIsNewer ? upstreams.get(entry.id()) : holder;
    if (holderIsNewer) {
      idByAddress.put(entry.address(), holderId);
    }
    if (ended.entry.state() != UpstreamState.GONE) {
      ended.entry = ended.entry.asDeparted();
      ended.changeNumber = ++change;
    }
  }

  /**
   * Marks an upstream as departed; returns the entry to pass on. Announcements that it sent before
   * and that arrive later change nothing.
   */
  public UpstreamEntry depart(String id, long startedAtMillis, long nowMillis) {
    TrackedUpstream slot = upstreams.get(id);
    UpstreamEntry gone =
        slot != null && slot.entry.startedAtMillis() >= startedAtMillis
            ? slot.entry.asDeparted()
            : UpstreamEntry.departed(id, startedAtMillis);
    merge(gone, nowMillis);
    return gone;
  }

  /** Drops departed upstreams that were remembered long enough. */
  public void expire(long nowMillis) {
    upstreams
        .values()
        .removeIf(
            s -> s.entry.state() == UpstreamState.GONE && nowMillis - s.updatedAtMillis > TOMBSTONE_TTL_MILLIS);
  }

  /** Returns the entry of an upstream, or null. */
  public UpstreamEntry find(String id) {
    TrackedUpstream slot = upstreams.get(id);
    return slot == null ? null : slot.entry;
  }

  /** Returns the number of the last change that routers have to know of. */
  public long change() {
    return change;
  }

  /** Returns the entries that changed after a change number. */
  public List<UpstreamEntry> changesAfter(long number) {
    List<UpstreamEntry> out = new ArrayList<>();
    for (TrackedUpstream s : upstreams.values()) {
      if (s.changeNumber > number) {
        out.add(s.entry);
      }
    }
    return out;
  }

  /** Returns all entries. */
  public Collection<UpstreamEntry> entries() {
    return upstreams.values().stream().map(s -> s.entry).collect(ImmutableList.toImmutableList());
  }
}
