package org.goldcrestfall.core.membership;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The records of all members other than this one. Dead and left members are kept for {@link
 * #RETENTION_MILLIS}, so that late messages cannot revive them and partitions can heal.
 */
final class MemberTable {

  static final long RETENTION_MILLIS = 600_000;

  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Long> droppedAt = new HashMap<>();

  Member get(String host) {
    return members.get(host);
  }

  Collection<Member> all() {
    return members.values();
  }

  List<Member> live() {
    List<Member> live = new ArrayList<>();
    for (Member m : members.values()) {
      if (m.live()) {
        live.add(m);
      }
    }
    return live;
  }

  Member atAddress(String address) {
    for (Member m : members.values()) {
      if (m.address().equals(address) && m.live()) {
        return m;
      }
    }
    return null;
  }

  /**
   * Merges a record and returns whether anything changed. Records of dead and left members that are
   * not in the table are ignored; otherwise members would pass them around forever.
   */
  boolean merge(Member update, long now) {
    Member m = members.get(update.host());
    if (m == null) {
      if (!update.live()) {
        return false;
      }
    } else if (update.supersedes(m)) {
      if (update.boot() == m.boot()) {
        long revision = Math.max(update.configRevision(), m.configRevision());
        update = update.withConfigRevision(revision);
      }
    } else if (update.boot() == m.boot() && update.configRevision() > m.configRevision()) {
      update = m.withConfigRevision(update.configRevision());
    } else {
      return false;
    }
    members.put(update.host(), update);
    if (update.live()) {
      droppedAt.remove(update.host());
    } else {
      droppedAt.putIfAbsent(update.host(), now + RETENTION_MILLIS);
    }
    return true;
  }

  /** Drops dead and left members after their retention and returns them. */
  List<Member> expire(long now) {
    List<Member> expired = new ArrayList<>();
    for (Member m : ImmutableList.copyOf(members.values())) {
      Long at = droppedAt.get(m.host());
      if (at != null && now >= at) {
        members.remove(m.host());
        droppedAt.remove(m.host());
        expired.add(m);
      }
    }
    return expired;
  }

  /**
   * Returns a hash over the live members and {@code self}. A suspicion does not count, because it
   * is transient.
   */
  long digest(Member self) {
    long digest = self.live() ? hash(self) : 0;
    for (Member m : members.values()) {
      if (m.live()) {
        digest += hash(m);
      }
    }
    return digest;
  }

  private static long hash(Member m) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(m.host(), UTF_8)
        .putLong(m.boot())
        .putLong(m.counter())
        .hash()
        .asLong();
  }
}
