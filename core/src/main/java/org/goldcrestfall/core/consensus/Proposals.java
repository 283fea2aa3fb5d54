package org.goldcrestfall.core.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * The proposals of one leadership, by index: those that wait for their entry to be committed, and
 * those whose reply is held until enough members have the entry on disk.
 */
final class Proposals {

  private final TreeMap<Long, Long> ids = new TreeMap<>();
  private final TreeMap<Long, Long> held = new TreeMap<>();

  /** The highest index that enough members have on disk. */
  private long copied;

  void add(long index, long id) {
    ids.put(index, id);
  }

  /** Returns and forgets the proposal at an index that is committed, or 0; holds its reply. */
  long take(long index, Replica replica) {
    Long id = ids.remove(index);
    if (id == null) {
      return 0;
    }
    if (index > copied) {
      held.put(index, id);
      replica.emit(new Effect.Hold(id));
    }
    return id;
  }

  /** Notes that enough members have the log up to an index on disk. */
  void copied(long index, Replica replica) {
    copied = Math.max(copied, index);
    Map<Long, Long> released = held.headMap(copied, true);
    released.values().forEach(id -> replica.emit(new Effect.Release(id)));
    released.clear();
  }

  void failAll(Replica replica) {
    ids.values().forEach(id -> replica.emit(new Effect.ProposalFailed(id, true)));
    held.values().forEach(id -> replica.emit(new Effect.ProposalFailed(id, true)));
    ids.clear();
    held.clear();
  }
}
