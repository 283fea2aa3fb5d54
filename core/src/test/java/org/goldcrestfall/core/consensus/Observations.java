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
 * Everything that was seen from outside a group, checked as it comes: one leader in each term, one
 * entry at each place, replies and reads in an order that one copy of the state could give, and no
 * effect of a refused command.
 */
final class Observations {

  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<String, Entry> written = new HashMap<>();
  private final TreeMap<Long, Entry> committed = new TreeMap<>();
  private final Map<Long, Integer> floors = new HashMap<>();
  private final Map<Long, String> proposed = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
  private int observed;
  private long nextId;
  int replies;
  int reads;

  /** Returns how many terms had a leader, for checks that a run did something. */
  int leaders() {
    return leaders.size();
  }

  void leads(Consensus member) {
    if (member.role() == Role.LEADER) {
      String first = leaders.putIfAbsent(member.term(), member.self());
      assertThat(first == null ? member.self() : first)
          .as("leader of term %d", member.term())
          .isEqualTo(member.self());
    }
  }

  void writes(List<Entry> entries) {
    for (Entry entry : entries) {
      Entry other = written.putIfAbsent(entry.toString().split("@")[1], entry);
      assertThat(other == null ? entry : other).as("entry of a term and index").isEqualTo(entry);
    }
  }

  void applies(Entry entry) {
    Entry other = committed.putIfAbsent(entry.index(), entry);
    assertThat(other == null ? entry : other)
        .as("committed entry %d", entry.index())
        .isEqualTo(entry);
    assertThat(refused).as("refused commands").doesNotContain(new String(entry.payload(), UTF_8));
  }

  /** Returns the id of a new proposal or read. */
  long invokes(String command) {
    long id = ++nextId;
    floors.put(id, observed);
    if (command != null) {
      proposed.put(id, command);
    }
    return id;
  }

  void acknowledges(long id, int position) {
    assertThat(position).as("position of write %d", id).isGreaterThan(floors.remove(id));
    observed = Math.max(observed, position);
    replies++;
  }

  void refuses(long id) {
    String command = proposed.get(id);
    refused.add(command);
    assertThat(committed.values())
        .as("committed although refused as not run")
        .noneMatch(e -> command.equals(new String(e.payload(), UTF_8)));
  }

  void returnsRead(long id, int length) {
    assertThat(length).as("length that read %d saw", id).isGreaterThanOrEqualTo(floors.remove(id));
    observed = Math.max(observed, length);
    reads++;
  }

  /** Checks that two members hold the same entries before every one that they share. */
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
