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
 * The records of all members other than the local one. Records of dead and left members are kept
 * for {@link #RETENTION_MILLIS}, so that delayed messages cannot make the members live again, and
 * so that dead members are contacted again after a network partition.
 */
final class MemberTable {

  static final long RETENTION_MILLIS = 600_000;

  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Long> expiryMillisByHost = new HashMap<>();

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

  Member findLiveByAddress(String address) {
    for (Member m : members.values()) {
      if (m.address().equals(address) && m.live()) {
        return m;
      }
    }
    return null;
  }

  /**
   * Merges a record and returns whether the table changed. A record of a dead or left member that
   * is not in the table is ignored; otherwise members would keep gossiping about it after its
   * retention.
   */
  boolean merge(Member update, long nowMillis) {
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
      expiryMillisByHost.remove(update.host());
    } else {
      expiryMillisByHost.putIfAbsent(update.host(), nowMillis + RETENTION_MILLIS);
    }
    return true;
  }

  /** Removes dead and left members whose retention is over and returns them. */
  List<Member> expire(long nowMillis) {
    List<Member> expired = new ArrayList<>();
    for (Member m : ImmutableList.copyOf(members.values())) {
      Long expiryMillis = expiryMillisByHost.get(m.host());
      if (expiryMillis != null && nowMillis >= expiryMillis) {
        members.remove(m.host());
        expiryMillisByHost.remove(m.host());
        expired.add(m);
      }
    }
    return expired;
  }

  /**
   * Returns a hash of the live members and {@code self}. Alive and suspected members are hashed
   * alike, because a suspicion is transient.
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
