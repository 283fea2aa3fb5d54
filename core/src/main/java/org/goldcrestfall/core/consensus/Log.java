package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The part of the log in memory: the entries after a base index, and the member lists in effect.
 */
final class Log {

  private final Limits limits;
  private Snapshot snapshot;
  private long baseIndex;
  private long baseTerm;
  private final List<Entry> entries = new ArrayList<>();
  private final TreeMap<Long, Members> members = new TreeMap<>();
  private boolean changesQuorum;

  Log(Snapshot snapshot, List<Entry> stored, Limits limits) {
    this.limits = limits;
    reset(snapshot);
    stored.forEach(this::append);
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns the term of the entry at an index, or -1 if it is not in memory. */
  long termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? -1 : get(index).term();
  }

  Entry get(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /**
   * Returns entries from an index on, up to {@link Limits#appendBytes} and at least one if any
   * exist.
   */
  List<Entry> entriesFrom(long index) {
    int start = (int) (index - baseIndex - 1);
    int end = start;
    for (long bytes = 0; end < entries.size() && bytes < limits.appendBytes(); end++) {
      bytes += entries.get(end).payload().length + 32L;
    }
    return List.copyOf(entries.subList(start, end));
  }

  void append(Entry entry) {
    checkState(
        entry.index() == lastIndex() + 1, "entry does not follow the end of the log: %s", entry);
    entries.add(entry);
    if (entry.type() == Entry.Type.MEMBERS) {
      members.put(entry.index(), Members.fromBytes(entry.payload()));
      compareQuorums();
    }
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    members.tailMap(index, true).clear();
    compareQuorums();
  }

  /** Replaces the whole log by a snapshot. */
  void reset(Snapshot newSnapshot) {
    snapshot = newSnapshot;
    baseIndex = newSnapshot.lastIndex();
    baseTerm = newSnapshot.lastTerm();
    entries.clear();
    members.clear();
    members.put(baseIndex, newSnapshot.members());
    compareQuorums();
  }

  /**
   * Discards the entries that a snapshot covers, except the last {@link Limits#retainedEntries}.
   */
  void compact(Snapshot newSnapshot) {
    snapshot = newSnapshot;
    long base = newSnapshot.lastIndex() - limits.retainedEntries();
    if (base <= baseIndex) {
      return;
    }
    baseTerm = termAt(base);
    final Members membersAtBase = membersAt(base);
    entries.subList(0, (int) (base - baseIndex)).clear();
    baseIndex = base;
    members.headMap(base, true).clear();
    members.put(base, membersAtBase);
    compareQuorums();
  }

  /** Returns the newest member list, whether or not it is committed. */
  Members members() {
    return members.lastEntry().getValue();
  }

  /** Returns the index of the entry that contains the newest member list. */
  long membersIndex() {
    return members.lastKey();
  }

  /**
   * Returns whether the newest member list has other quorums than the list before it, because it
   * has other voters or another protocol version.
   */
  boolean changesQuorum() {
    return changesQuorum;
  }

  private void compareQuorums() {
    changesQuorum =
        membersIndex() > baseIndex && haveOtherQuorums(membersAt(membersIndex() - 1), members());
  }

  private static boolean haveOtherQuorums(Members before, Members after) {
    return before.protocol() != after.protocol() || !voterIds(before).equals(voterIds(after));
  }

  /**
   * Returns the newest list up to a committed index that decides alone for all who have the entries
   * up to there: its quorums are those of the list before it.
   */
  Members decidedAt(long committedIndex) {
    Map.Entry<Long, Members> entry = members.floorEntry(committedIndex);
    while (entry != null) {
      Map.Entry<Long, Members> before = members.lowerEntry(entry.getKey());
      if (before == null || !haveOtherQuorums(before.getValue(), entry.getValue())) {
        return entry.getValue();
      }
      entry = before;
    }
    return Members.NONE;
  }

  private static Set<String> voterIds(Members list) {
    return list.voters().map(Member::id).collect(Collectors.toSet());
  }

  Members membersAt(long index) {
    Map.Entry<Long, Members> entry = members.floorEntry(index);
    return entry == null ? Members.NONE : entry.getValue();
  }
}
