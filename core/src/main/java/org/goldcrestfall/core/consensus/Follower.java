package org.goldcrestfall.core.consensus;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * The receiving side of replication: handles entries and snapshot chunks from the current leader.
 */
final class Follower {

  private final Replica replica;

  /** The term of the leader whose log {@code verifiedMatchIndex} refers to. */
  private long verifiedTerm;

  /** The index up to which this log equals the log of that leader, whether or not it is on disk. */
  private long verifiedMatchIndex;

  /** The match index that was last reported to that leader. */
  private long acknowledgedIndex;

  /** The highest heartbeat round received from that leader. */
  private long lastRound;

  /** The first chunk of the snapshot that is being received, or null. */
  private Message.SnapshotChunk firstChunk;

  private ByteArrayOutputStream snapshotData;

  Follower(Replica replica) {
    this.replica = replica;
  }

  void onAppendRequest(Message.AppendRequest m) {
    if (m.term() < replica.term()) {
      replica.sendAfterSync(reply(m, false, replica.commitIndex + 1), true);
      return;
    }
    onLeaderContact(m.term(), m.from());
    lastRound = Math.max(lastRound, m.round());
    boolean matches =
        m.previousIndex() <= replica.commitIndex
            || replica.log.termAt(m.previousIndex()) == m.previousTerm();
    if (!matches) {
      replica.sendAfterSync(reply(m, false, replica.commitIndex + 1), true);
      return;
    }
    long matchIndex = m.previousIndex();
    if (replica.writable) {
      matchIndex += m.entries().size();
      storeEntries(m.entries());
    }
    verifiedMatchIndex = Math.max(verifiedMatchIndex, matchIndex);
    replica.commitTo(
        Math.max(replica.commitIndex, Math.min(m.commitIndex(), verifiedMatchIndex)), null);
    // If the entries are not on disk yet, the reply is sent after the sync.
    if (m.entries().isEmpty() || verifiedMatchIndex <= replica.durableIndex) {
      acknowledgedIndex = Math.min(verifiedMatchIndex, replica.durableIndex);
      replica.sendAfterSync(reply(m, true, acknowledgedIndex), true);
    }
  }

  /** Acknowledges the entries that were synced since the last reply. */
  void onPersisted() {
    long matchIndex = Math.min(verifiedMatchIndex, replica.durableIndex);
    if (replica.role == Role.FOLLOWER
        && verifiedTerm == replica.term()
        && !replica.leaderId.isEmpty()
        && matchIndex > acknowledgedIndex) {
      acknowledgedIndex = matchIndex;
      replica.sendAfterSync(
          new Message.AppendReply(
              replica.self,
              replica.leaderId,
              replica.term(),
              true,
              matchIndex,
              lastRound,
              replica.supportedProtocol),
          true);
    }
  }

  void onSnapshotChunk(Message.SnapshotChunk m) {
    if (m.term() < replica.term()) {
      replica.sendAfterSync(reply(m, 0, false), true);
      return;
    }
    onLeaderContact(m.term(), m.from());
    if (m.lastIndex() <= replica.commitIndex) {
      replica.sendAfterSync(reply(m, m.offset() + m.data().length, true), false);
      return;
    }
    if (!replica.writable) {
      return;
    }
    if (!continuesTransfer(m)) {
      firstChunk = m;
      snapshotData = new ByteArrayOutputStream();
    }
    if (m.offset() == snapshotData.size()) {
      snapshotData.writeBytes(m.data());
      if (m.done()) {
        install(new Snapshot(m.lastIndex(), m.lastTerm(), m.members(), snapshotData.toByteArray()));
        replica.sendAfterSync(reply(m, snapshotData.size(), true), false);
        firstChunk = null;
        snapshotData = null;
        return;
      }
    }
    replica.sendAfterSync(reply(m, snapshotData.size(), false), true);
  }

  private void install(Snapshot snapshot) {
    Log log = replica.log;
    verifiedMatchIndex = Math.max(verifiedMatchIndex, snapshot.lastIndex());
    if (log.termAt(snapshot.lastIndex()) == snapshot.lastTerm()) {
      // The log already contains this prefix; the entries after it may have been acknowledged.
      replica.commitTo(snapshot.lastIndex(), null);
      return;
    }
    log.reset(snapshot);
    replica.commitIndex = snapshot.lastIndex();
    replica.persistSnapshot(snapshot);
    replica.emit(new Effect.Restore(snapshot));
  }

  private boolean continuesTransfer(Message.SnapshotChunk m) {
    return firstChunk != null
        && firstChunk.from().equals(m.from())
        && firstChunk.term() == m.term()
        && firstChunk.lastIndex() == m.lastIndex()
        && firstChunk.lastTerm() == m.lastTerm();
  }

  private void storeEntries(List<Entry> entries) {
    Log log = replica.log;
    List<Entry> added = new ArrayList<>();
    for (Entry entry : entries) {
      if (entry.index() <= replica.commitIndex || log.termAt(entry.index()) == entry.term()) {
        continue;
      }
      if (entry.index() <= log.lastIndex()) {
        log.truncateFrom(entry.index());
        replica.durableIndex = Math.min(replica.durableIndex, entry.index() - 1);
      }
      log.append(entry);
      added.add(entry);
    }
    if (!added.isEmpty()) {
      replica.persistEntries(added.get(0).index(), added);
    }
  }

  private void onLeaderContact(long term, String leaderId) {
    replica.becomeFollower(term, leaderId);
    if (verifiedTerm != term) {
      verifiedTerm = term;
      verifiedMatchIndex = 0;
      acknowledgedIndex = 0;
      lastRound = 0;
    }
    replica.leaderHeardAt = replica.now;
    replica.lastLeaderId = leaderId;
    replica.resetElectionTimeout();
  }

  private Message.AppendReply reply(Message.AppendRequest m, boolean success, long matchIndex) {
    return new Message.AppendReply(
        replica.self,
        m.from(),
        replica.term(),
        success,
        matchIndex,
        m.round(),
        replica.supportedProtocol);
  }

  private Message.SnapshotReply reply(Message.SnapshotChunk m, long nextOffset, boolean done) {
    return new Message.SnapshotReply(
        replica.self, m.from(), replica.term(), m.lastIndex(), nextOffset, done);
  }
}
