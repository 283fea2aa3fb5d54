package org.goldcrestfall.core.consensus;

/**
 * The replication progress of one other member, as tracked by the leader. Times are in milliseconds
 * on the leader's clock.
 */
final class Progress {

  /** The last index that the member is known to have on disk. */
  long matchIndex;

  /** The index of the next entry to send. */
  long nextIndex;

  /** The last index of the entries or the snapshot in flight, or 0. */
  long inFlightIndex;

  /** The time at which the entries or the chunk in flight were sent. */
  long sentAtMillis;

  /** The highest heartbeat round that the member has acknowledged. */
  long ackedRound;

  /** The time of the last reply, initially that of the creation of this object. */
  long ackedAtMillis;

  /** Whether the member has replied to this leader. */
  boolean hasReplied;

  /**
   * The time from which on the member has been silent: that of its last reply, or of its last
   * message as the previous leader.
   */
  long silentSinceMillis;

  /**
   * The newest {@link ProtocolVersion} that the member supports; the first one until it replies.
   */
  int protocol = ProtocolVersion.SINGLE_CHANGES;

  /** The snapshot that is being transferred, or null. */
  Snapshot snapshot;

  /** The offset of the snapshot chunk in flight, in bytes. */
  int snapshotOffset;

  Progress(long nextIndex, long nowMillis, long silentSinceMillis) {
    this.nextIndex = nextIndex;
    this.silentSinceMillis = silentSinceMillis;
    ackedAtMillis = nowMillis;
  }

  /** Records a reply of the member. */
  void recordReply(long nowMillis) {
    hasReplied = true;
    ackedAtMillis = nowMillis;
    silentSinceMillis = nowMillis;
  }
}
