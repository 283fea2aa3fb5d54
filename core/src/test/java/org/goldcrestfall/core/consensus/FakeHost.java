package org.goldcrestfall.core.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A host with a disk and a list of commands as the state; what is not synced is lost on a kill. */
final class FakeHost {

  /** An applied command and its position in the state. */
  record Applied(Entry entry, int position) {

    /** Stands for a command that is about to be applied. */
    static final Applied SOON = new Applied(null, 0);
  }

  final int number;
  final List<String> commands = new ArrayList<>();
  final Deque<Object> unsynced = new ArrayDeque<>();

  /** Proposals whose replies are held. */
  final Map<Long, Applied> held = new HashMap<>();

  long clockOffset;
  String id;
  Consensus consensus;
  boolean frozen;
  long applied;
  private int life = 1;
  private HardState hardState = HardState.INITIAL;
  private Snapshot snapshot;
  private final List<Entry> entries = new ArrayList<>();

  FakeHost(int number, Members founders) {
    this.number = number;
    id = idOf(number, life);
    snapshot = Snapshot.initial(founders);
  }

  static String idOf(int number, int life) {
    return "h" + number + "#" + life;
  }

  static int hostOf(String id) {
    return Integer.parseInt(id.substring(1, id.indexOf('#')));
  }

  /** Returns whether the host is up but neither leads nor knows a leader. */
  boolean hasNoLeader() {
    return isLive() && !frozen && consensus.leader().isEmpty();
  }

  boolean isLive() {
    return consensus != null;
  }

  void start(Timing timing, GroupPolicy policy, Limits limits, long seed, long nowMillis) {
    Stored stored = new Stored(hardState, snapshot, List.copyOf(entries));
    restore(snapshot);
    consensus = new Consensus(id, stored, timing, policy, limits, seed, nowMillis + clockOffset);
    frozen = false;
  }

  /** Stops at once; a number of unsynced writes happens to be on disk all the same. */
  void kill(int written) {
    for (int i = 0; i < written && !unsynced.isEmpty(); i++) {
      write(unsynced.poll());
    }
    unsynced.clear();
    held.clear();
    consensus = null;
  }

  void loseDisk() {
    kill(0);
    id = idOf(number, ++life);
    hardState = HardState.INITIAL;
    snapshot = Snapshot.initial(Members.NONE);
    entries.clear();
  }

  /** Writes what is unsynced to disk; returns the event to report, or null. */
  Event sync() {
    Event event = null;
    while (!unsynced.isEmpty()) {
      Object next = unsynced.poll();
      write(next);
      if (next instanceof Effect.Persist p) {
        event = new Event.Persisted(p.sequence());
      }
    }
    return event;
  }

  /** Returns whether an entry is on disk, by itself or in a snapshot. */
  boolean hasOnDisk(Entry entry) {
    return snapshot.lastIndex() >= entry.index() || entries.contains(entry);
  }

  /** Returns the index of the last entry that is on disk. */
  long lastOnDisk() {
    return entries.isEmpty() ? snapshot.lastIndex() : entries.get(entries.size() - 1).index();
  }

  private void write(Object request) {
    if (request instanceof Snapshot s) {
      entries.removeIf(e -> e.index() <= s.lastIndex());
      snapshot = s;
      return;
    }
    Effect.Persist p = (Effect.Persist) request;
    if (p.hardState() != null) {
      hardState = p.hardState();
    }
    if (p.snapshot() != null) {
      snapshot = p.snapshot();
      entries.clear();
    }
    if (p.firstIndex() > 0) {
      entries.removeIf(e -> e.index() >= p.firstIndex());
      entries.addAll(p.entries());
    }
  }

  /** Applies an entry; returns the number of commands. */
  int apply(Entry entry) {
    if (entry.type() == Entry.Type.COMMAND) {
      commands.add(new String(entry.payload(), UTF_8));
    }
    applied = entry.index();
    return commands.size();
  }

  void restore(Snapshot from) {
    commands.clear();
    commands.addAll(
        Splitter.on(',').omitEmptyStrings().splitToList(new String(from.data(), UTF_8)));
    applied = from.lastIndex();
  }

  /** Returns a snapshot of the state. */
  Snapshot capture() {
    return new Snapshot(
        applied,
        consensus.termAt(applied),
        consensus.membersAt(applied),
        String.join(",", commands).getBytes(UTF_8));
  }
}
