package org.goldcrestfall.core.consensus;

/** What a leader knows about one other member. */
final class Progress {

  long match;
  long next;

  /** The last index of the entries under way, or 0. */
  long inFlight;

  long sentAt;
  long ackedRound;
  long ackedAt;

  /** The snapshot under way, or null. */
  Snapshot snapshot;

  int offset;

  Progress(long next, long nowMillis) {
    this.next = next;
    ackedAt = nowMillis;
  }
}
