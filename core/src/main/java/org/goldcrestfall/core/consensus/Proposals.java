package org.goldcrestfall.core.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * The pending proposals of one leadership by log index: those whose entry is not committed yet, and
 * those whose reply is withheld until enough members have the entry on disk.
 */
final class Proposals {

  private final TreeMap<Long, Long> uncommittedIds = new TreeMap<>();
  private final TreeMap<Long, Long> heldIds = new TreeMap<>();

  /** The highest index that the required number of members has on disk. */
  private long durablyCopiedIndex;

  void add(long index, long id) {
    uncommittedIds.put(index, id);
  }

  /**
   * Removes and returns the proposal at a committed index, or 0 if there is none. Withholds its
   * reply if too few members have the entry on disk.
   */
  long takeCommitted(long index, Replica replica) {
    Long id = uncommittedIds.remove(index);
    if (id == null) {
      return 0;
    }
    if (index > durablyCopiedIndex) {
      heldIds.put(index, id);
      replica.emit(new Effect.HoldReply(id));
    }
    return id;
  }

  /** Releases the replies up to an index that the required number of members has on disk. */
  void onDurablyCopied(long index, Replica replica) {
    durablyCopiedIndex = Math.max(durablyCopiedIndex, index);
    Map<Long, Long> released = heldIds.headMap(durablyCopiedIndex, true);
    released.values().forEach(id -> replica.emit(new Effect.ReleaseReply(id)));
    released.clear();
  }

  /** Fails all pending proposals; their commands may still be committed. */
  void failAll(Replica replica) {
    uncommittedIds.values().forEach(id -> replica.emit(new Effect.ProposalFailed(id, true)));
    heldIds.values().forEach(id -> replica.emit(new Effect.ProposalFailed(id, true)));
    uncommittedIds.clear();
    heldIds.clear();
  }
}
