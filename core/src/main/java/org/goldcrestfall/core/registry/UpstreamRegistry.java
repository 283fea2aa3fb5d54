package org.goldcrestfall.core.registry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The latest announcement of each upstream. Merging is commutative and idempotent, so registries
 * that exchange their entries converge. An address belongs to the upstream that started last on it.
 * Not thread-safe.
 */
public final class UpstreamRegistry {

  /**
   * Time for which a departed upstream is kept, so that its delayed announcements are still
   * rejected.
   */
  static final long TOMBSTONE_TTL_MILLIS = 120_000;

  /**
   * A warm-up that ends later than known by up to this time is no change. Announcements arrive with
   * varying delays.
   */
  static final long WARMUP_TOLERANCE_MILLIS = 250;

  private static final class TrackedUpstream {
    UpstreamEntry entry;
    long warmupEndMillis = Long.MIN_VALUE / 2;
    long changeNumber;
    long updatedAtMillis;
  }

  private final Map<String, TrackedUpstream> upstreams = new HashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private long lastChangeNumber;

  /** Merges an announcement and returns whether it is a change that matters to routers. */
  public boolean merge(UpstreamEntry entry, long nowMillis) {
    TrackedUpstream upstream = upstreams.get(entry.id());
    if (upstream != null && !entry.isNewerThan(upstream.entry)) {
      return false;
    }
    boolean differs = upstream == null || entry.differsFrom(upstream.entry);
    if (upstream == null) {
      upstream = new TrackedUpstream();
      upstreams.put(entry.id(), upstream);
    }
    long warmupEndMillis = nowMillis + entry.warmupMillis();
    differs |=
        entry.warmupMillis() > 0
            && warmupEndMillis > upstream.warmupEndMillis + WARMUP_TOLERANCE_MILLIS;
    upstream.warmupEndMillis = warmupEndMillis;
    upstream.entry = entry;
    upstream.updatedAtMillis = nowMillis;
    if (!differs) {
      return false;
    }
    upstream.changeNumber = ++lastChangeNumber;
    if (entry.state() != UpstreamState.GONE) {
      claimAddress(entry);
    }
    return true;
  }

  private void claimAddress(UpstreamEntry entry) {
    String ownerId = idByAddress.put(entry.address(), entry.id());
    TrackedUpstream owner =
        ownerId == null || ownerId.equals(entry.id()) ? null : upstreams.get(ownerId);
    if (owner == null || !owner.entry.address().equals(entry.address())) {
      return;
    }
    // If two upstreams have the same address, the one that started first has ended.
    boolean ownerIsNewer = owner.entry.startedAtMillis() > entry.startedAtMillis();
    TrackedUpstream ended = ownerIsNewer ? upstreams.get(entry.id()) : owner;
    if (ownerIsNewer) {
      idByAddress.put(entry.address(), ownerId);
    }
    if (ended.entry.state() != UpstreamState.GONE) {
      ended.entry = ended.entry.asDeparted();
      ended.changeNumber = ++lastChangeNumber;
    }
  }

  /**
   * Marks an incarnation of an upstream as departed and returns the entry to send to other
   * registries. Announcements of the same incarnation that arrive later are ignored. An incarnation
   * that started later is not affected, as the call of an earlier one may arrive late.
   *
   * @param startedAtMillis the start of the departed incarnation; empty if it is the known one
   */
  public UpstreamEntry markDeparted(String id, OptionalLong startedAtMillis, long nowMillis) {
    TrackedUpstream upstream = upstreams.get(id);
    long start = startedAtMillis.orElse(upstream == null ? 0 : upstream.entry.startedAtMillis());
    UpstreamEntry gone =
        upstream != null && upstream.entry.startedAtMillis() == start
            ? upstream.entry.asDeparted()
            : UpstreamEntry.departed(id, start);
    merge(gone, nowMillis);
    return gone;
  }

  /** Removes upstreams whose departure was recorded more than {@code TOMBSTONE_TTL_MILLIS} ago. */
  public void expire(long nowMillis) {
    upstreams
        .values()
        .removeIf(
            u ->
                u.entry.state() == UpstreamState.GONE
                    && nowMillis - u.updatedAtMillis > TOMBSTONE_TTL_MILLIS);
  }

  /** Returns the entry of an upstream, or null if it is unknown. */
  public UpstreamEntry find(String id) {
    TrackedUpstream upstream = upstreams.get(id);
    return upstream == null ? null : upstream.entry;
  }

  /** Returns the number of the last change that matters to routers. */
  public long lastChangeNumber() {
    return lastChangeNumber;
  }

  /**
   * Returns the entries that changed after the change with this number, with the time for which the
   * upstreams still warm up.
   */
  public List<UpstreamEntry> changesAfter(long number, long nowMillis) {
    List<UpstreamEntry> changes = new ArrayList<>();
    for (TrackedUpstream u : upstreams.values()) {
      if (u.changeNumber > number) {
        changes.add(u.entry.withWarmupMillis((int) Math.max(0, u.warmupEndMillis - nowMillis)));
      }
    }
    return changes;
  }

  /** Returns all entries. */
  public Collection<UpstreamEntry> entries() {
    return upstreams.values().stream().map(u -> u.entry).collect(ImmutableList.toImmutableList());
  }
}
