package org.goldcrestfall.core.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records what is observable from outside a group and checks it at once: each term has one leader,
 * each pair of term and index has one entry, each index has one committed entry, replies and reads
 * are linearizable, and a refused command has no effect.
 */
final class HistoryChecker {

  private final Map<Long, String> leaders = new HashMap<>();

  /** All entries that were written, by index and term. */
  private final Map<String, Entry> written = new HashMap<>();

  private final TreeMap<Long, Entry> committed = new TreeMap<>();

  /** The highest observed state length when a pending proposal or read was invoked, by its id. */
  private final Map<Long, Integer> observedAtInvocation = new HashMap<>();

  private final Map<Long, String> proposed = new HashMap<>();
  private final Set<String> refused = new HashSet<>();

  /** The highest state length, in commands, that a reply or read has shown so far. */
  private int highestObserved;

  private long nextId;
  int replyCount;
  int readCount;

  /** Returns the number of terms that had a leader, for checks that a run was not idle. */
  int leaderTermCount() {
    return leaders.size();
  }

  void recordLeader(Consensus member) {
    if (member.role() == Role.LEADER) {
      String first = leaders.putIfAbsent(member.term(), member.self());
      assertThat(first == null ? member.self() : first)
          .as("leader of term %d", member.term())
          .isEqualTo(member.self());
    }
  }

  void recordWrites(List<Entry> entries) {
    for (Entry entry : entries) {
      Entry other = written.putIfAbsent(entry.toString().split("@")[1], entry);
      assertThat(other == null ? entry : other).as("entry of a term and index").isEqualTo(entry);
    }
  }

  void recordApplied(Entry entry) {
    Entry other = committed.putIfAbsent(entry.index(), entry);
    assertThat(other == null ? entry : other)
        .as("committed entry %d", entry.index())
        .isEqualTo(entry);
    assertThat(refused).as("refused commands").doesNotContain(new String(entry.payload(), UTF_8));
  }

  /** Returns the id of a new proposal or, if {@code command} is null, of a new read. */
  long recordInvocation(String command) {
    long id = ++nextId;
    observedAtInvocation.put(id, highestObserved);
    if (command != null) {
      proposed.put(id, command);
    }
    return id;
  }

  void recordReply(long id, int position) {
    assertThat(position)
        .as("position of write %d", id)
        .isGreaterThan(observedAtInvocation.remove(id));
    highestObserved = Math.max(highestObserved, position);
    replyCount++;
  }

  void recordRefusal(long id) {
    String command = proposed.get(id);
    refused.add(command);
    assertThat(committed.values())
        .as("committed although refused as not run")
        .noneMatch(e -> command.equals(new String(e.payload(), UTF_8)));
  }

  void recordRead(long id, int length) {
    assertThat(length)
        .as("length that read %d saw", id)
        .isGreaterThanOrEqualTo(observedAtInvocation.remove(id));
    highestObserved = Math.max(highestObserved, length);
    readCount++;
  }

  /** Checks log matching: before any entry that two logs share, they are identical. */
  void compareLogs(Consensus a, Consensus b) {
    boolean same = false;
    for (long i = Math.min(a.lastIndex(), b.lastIndex()); i > 0; i--) {
      long x = a.termAt(i);
      long y = b.termAt(i);
      if (x < 0 || y < 0) {
        return;
      }
      assertThat(!same || x == y)
          .as("logs of %s and %s at %d before a shared entry", a.self(), b.self(), i)
          .isTrue();
      same |= x == y;
    }
  }
}
