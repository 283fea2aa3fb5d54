package org.goldcrestfall.core.consensus;

import java.util.TreeMap;

/** The proposals of one leadership that wait for their entry to be committed, by index. */
final class Proposals {

  private final TreeMap<Long, Long> ids = new TreeMap<>();

  void add(long index, long id) {
    ids.put(index, id);
  }

  /** Returns and forgets the proposal at an index, or 0. */
  long take(long index) {
    Long id = ids.remove(index);
    return id == null ? 0 : id;
  }

  void failAll(Replica replica) {
    ids.values().forEach(id -> replica.emit(new Effect.ProposalFailed(id, true)));
    ids.clear();
  }
}
