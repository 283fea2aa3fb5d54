package org.goldcrestfall.core.consensus;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** The receiving side of replication: entries and snapshot chunks of the current leader. */
final class Follower {

  private final Replica replica;
  private long verifiedTerm;
  private long verifiedMatch;
  private long acknowledged;
  private long lastRound;
  private Message.SnapshotChunk assembling;
  private ByteArrayOutputStream assembled;

  Follower(Replica replica) {
    this.replica = replica;
  }

  void append(Message.AppendRequest m) {
    if (m.term() < replica.term()) {
      replica.sendAfterSync(reply(m, false, replica.commit + 1), true);
      return;
    }
    heard(m.term(), m.from());
    lastRound = Math.max(lastRound, m.round());
    boolean matches =
        m.previousIndex() <= replica.commit
            || replica.log.termAt(m.previousIndex()) == m.previousTerm();
    if (!matches) {
      replica.sendAfterSync(reply(m, false, replica.commit + 1), true);
      return;
    }
    long match = m.previousIndex();
    if (replica.writable) {
      match += m.entries().size();
      store(m.entries());
    }
    verifiedMatch = Math.max(verifiedMatch, match);
    replica.commitTo(Math.max(replica.commit, Math.min(m.commitIndex(), verifiedMatch)), null);
    // The reply to entries that are not on disk yet follows after the sync.
    if (m.entries().isEmpty() || verifiedMatch <= replica.durable) {
      acknowledged = Math.min(verifiedMatch, replica.durable);
      replica.sendAfterSync(reply(m, true, acknowledged), true);
    }
  }

  /** Acknowledges what has come to disk since the last reply. */
  void persisted() {
    long match = Math.min(verifiedMatch, replica.durable);
    if (replica.role == Role.FOLLOWER
        && verifiedTerm == replica.term()
        && !replica.leader.isEmpty()
        && match > acknowledged) {
      acknowledged = match;
      replica.sendAfterSync(
          new Message.AppendReply(
              replica.self, replica.leader, replica.term(), true, match, lastRound),
          true);
    }
  }

  void receive(Message.SnapshotChunk m) {
    if (m.term() < replica.term()) {
      replica.sendAfterSync(reply(m, 0, false), true);
      return;
    }
    heard(m.term(), m.from());
    if (m.lastIndex() <= replica.commit) {
      replica.sendAfterSync(reply(m, m.offset() + m.data().length, true), false);
      return;
    }
    if (!replica.writable) {
      return;
    }
    if (!continues(m)) {
      assembling = m;
      assembled = new ByteArrayOutputStream();
    }
    if (m.offset() == assembled.size()) {
      assembled.writeBytes(m.data());
      if (m.done()) {
        install(new Snapshot(m.lastIndex(), m.lastTerm(), m.members(), assembled.toByteArray()));
        replica.sendAfterSync(reply(m, assembled.size(), true), false);
        assembling = null;
        assembled = null;
        return;
      }
    }
    replica.sendAfterSync(reply(m, assembled.size(), false), true);
  }

  private void install(Snapshot snapshot) {
    Log log = replica.log;
    verifiedMatch = Math.max(verifiedMatch, snapshot.lastIndex());
    if (log.termAt(snapshot.lastIndex()) == snapshot.lastTerm()) {
      // The log already holds this prefix; what follows it may have been acknowledged.
      replica.commitTo(snapshot.lastIndex(), null);
      return;
    }
    log.reset(snapshot);
    replica.commit = snapshot.lastIndex();
    replica.persistSnapshot(snapshot);
    replica.emit(new Effect.Restore(snapshot));
  }

  private boolean continues(Message.SnapshotChunk m) {
    return assembling != null
        && assembling.from().equals(m.from())
        && assembling.term() == m.term()
        && assembling.lastIndex() == m.lastIndex()
        && assembling.lastTerm() == m.lastTerm();
  }

  private void store(List<Entry> entries) {
    Log log = replica.log;
    List<Entry> added = new ArrayList<>();
    for (Entry entry : entries) {
      if (entry.index() <= replica.commit || log.termAt(entry.index()) == entry.term()) {
        continue;
      }
      if (entry.index() <= log.lastIndex()) {
        log.truncateFrom(entry.index());
        replica.durable = Math.min(replica.durable, entry.index() - 1);
      }
      log.append(entry);
      added.add(entry);
    }
    if (!added.isEmpty()) {
      replica.persistEntries(added.get(0).index(), added);
    }
  }

  private void heard(long term, String leader) {
    replica.follow(term, leader);
    if (verifiedTerm != term) {
      verifiedTerm = term;
      verifiedMatch = 0;
      acknowledged = 0;
      lastRound = 0;
    }
    replica.contactAt = replica.now;
    replica.resetElection();
  }

  private Message.AppendReply reply(Message.AppendRequest m, boolean success, long match) {
    return new Message.AppendReply(
        replica.self, m.from(), replica.term(), success, match, m.round());
  }

  private Message.SnapshotReply reply(Message.SnapshotChunk m, long next, boolean done) {
    return new Message.SnapshotReply(
        replica.self, m.from(), replica.term(), m.lastIndex(), next, done);
  }
}
