package org.goldcrestfall.core.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The sending side of replication in one term: heartbeats, entries, snapshots, lease and reads. */
final class Leader {

  private static final int RESEND_HEARTBEATS = 3;

  private record PendingRead(long id, long round) {}

  private final Replica replica;
  private final Map<String, Progress> others = new HashMap<>();
  private final Proposals proposals = new Proposals();
  private final TreeMap<Long, Long> roundsSent = new TreeMap<>();
  private final List<PendingRead> reads = new ArrayList<>();
  private final Membership membership;
  private final long firstIndex;
  private long round;
  private long heartbeatAt;
  private long leaseUntil;

  Leader(Replica replica) {
    this.replica = replica;
    membership = new Membership(replica, this);
    replica.role = Role.LEADER;
    replica.leader = replica.self;
    firstIndex = replica.log.lastIndex() + 1;
    if (replica.log.lastIndex() == 0) {
      // Only the founder knows the first member list, so it goes before every other entry.
      append(Entry.Type.MEMBERS, members().toBytes());
    } else {
      append(Entry.Type.NOOP, new byte[0]);
    }
    heartbeat();
  }

  /** Steps down if the quorum was not heard for an election timeout; returns whether it did. */
  boolean tick() {
    long heard =
        members().voters().filter(m -> ackedAt(m.id()) + electionMax() > replica.now).count();
    if (heard < members().quorum() || !replica.writable) {
      return true;
    }
    if (replica.now >= heartbeatAt) {
      heartbeat();
    }
    membership.advance();
    return false;
  }

  void propose(long id, byte[] command) {
    Entry entry = append(Entry.Type.COMMAND, command);
    proposals.add(entry.index(), id);
    others.forEach(this::replicate);
  }

  void read(long id) {
    if (replica.policy.leaseReads() && hasLease(replica.now)) {
      replica.emit(new Effect.ReadReady(id));
      return;
    }
    reads.add(new PendingRead(id, round + 1));
    heartbeat();
  }

  void join(Member member) {
    membership.join(member);
  }

  /** Returns whether no other member can lead at a time, by the lease of the quorum. */
  boolean hasLease(long nowMillis) {
    return isEstablished() && nowMillis < leaseUntil;
  }

  /** Returns whether an entry of this term is committed, and so everything before it is known. */
  boolean isEstablished() {
    return replica.commit >= firstIndex;
  }

  /** Returns the end of the lease, 0 before the leadership is established. */
  long leaseUntil() {
    return isEstablished() ? leaseUntil : 0;
  }

  boolean mayHoldLease() {
    return replica.now < leaseUntil;
  }

  void appended(Message.AppendReply m) {
    Progress p = others.get(m.from());
    if (p == null || m.term() != replica.term()) {
      return;
    }
    acknowledged(p, m.round());
    if (m.success()) {
      p.match = Math.max(p.match, m.matchIndex());
      p.next = Math.max(p.next, p.match + 1);
      if (p.match >= p.inFlight) {
        p.inFlight = 0;
      }
      if (p.snapshot != null && p.match >= p.snapshot.lastIndex()) {
        p.snapshot = null;
      }
    } else if (m.matchIndex() < p.next) {
      p.next = Math.max(p.match + 1, m.matchIndex());
      p.inFlight = 0;
    }
    advanceCommit();
    replicate(m.from(), p);
  }

  void installed(Message.SnapshotReply m) {
    Progress p = others.get(m.from());
    if (p == null || m.term() != replica.term()) {
      return;
    }
    p.ackedAt = replica.now;
    if (p.snapshot == null || p.snapshot.lastIndex() != m.lastIndex()) {
      return;
    }
    if (m.done()) {
      p.match = Math.max(p.match, m.lastIndex());
      p.next = p.match + 1;
      p.snapshot = null;
      p.inFlight = 0;
      advanceCommit();
    } else if (m.nextOffset() != p.offset) {
      p.offset = (int) Math.min(m.nextOffset(), p.snapshot.data().length);
      p.inFlight = 0;
    }
    replicate(m.from(), p);
  }

  void persisted() {
    advanceCommit();
  }

  /** Ends the leadership: what waits here has no reply here. */
  void stop() {
    proposals.failAll(replica);
    reads.forEach(r -> replica.emit(new Effect.ReadFailed(r.id())));
  }

  /** Changes the member list; in force at once. */
  void change(Members next) {
    append(Entry.Type.MEMBERS, next.toBytes());
    others.forEach(this::replicate);
    advanceCommit();
  }

  Progress progress(String id) {
    return others.get(id);
  }

  private Entry append(Entry.Type type, byte[] payload) {
    Entry entry = new Entry(replica.term(), replica.log.lastIndex() + 1, type, payload);
    replica.log.append(entry);
    replica.persistEntries(entry.index(), List.of(entry));
    updateOthers();
    return entry;
  }

  private void updateOthers() {
    others.keySet().retainAll(members().all().stream().map(Member::id).toList());
    for (Member m : members().all()) {
      if (!m.id().equals(replica.self)) {
        others.computeIfAbsent(m.id(), id -> new Progress(replica.log.lastIndex(), replica.now));
      }
    }
  }

  private void heartbeat() {
    roundsSent.put(++round, replica.now);
    heartbeatAt = replica.now + replica.timing.heartbeatMillis();
    others.forEach(
        (id, p) -> {
          if (p.inFlight > 0 && replica.now >= p.sentAt + resendMillis()) {
            p.inFlight = 0;
            p.next = p.match + 1;
          }
          if (!replicate(id, p)) {
            long previous = replica.log.termAt(p.match) < 0 ? 0 : p.match;
            sendEntries(id, previous, List.of());
          }
        });
    acknowledge();
  }

  /** Sends what the member lacks, unless something is under way; returns whether it sent. */
  private boolean replicate(String id, Progress p) {
    if (p.inFlight > 0) {
      return false;
    }
    if (p.snapshot != null || p.next <= replica.log.baseIndex()) {
      sendChunk(id, p);
      return false;
    }
    if (p.next > replica.log.lastIndex()) {
      return false;
    }
    List<Entry> entries = replica.log.from(p.next);
    sendEntries(id, p.next - 1, entries);
    p.inFlight = p.next + entries.size() - 1;
    p.next = p.inFlight + 1;
    p.sentAt = replica.now;
    return true;
  }

  private void sendEntries(String id, long previous, List<Entry> entries) {
    long previousTerm = previous == 0 ? 0 : replica.log.termAt(previous);
    replica.send(
        new Message.AppendRequest(
            replica.self,
            id,
            replica.term(),
            previous,
            previousTerm,
            entries,
            replica.commit,
            round));
  }

  private void sendChunk(String id, Progress p) {
    if (p.snapshot == null || p.snapshot.lastIndex() < replica.log.baseIndex()) {
      p.snapshot = replica.log.snapshot();
      p.offset = 0;
    }
    byte[] data = p.snapshot.data();
    int end = Math.min(data.length, p.offset + replica.limits.chunkBytes());
    replica.sendAfterSync(
        new Message.SnapshotChunk(
            replica.self,
            id,
            replica.term(),
            p.snapshot.lastIndex(),
            p.snapshot.lastTerm(),
            p.offset,
            Arrays.copyOfRange(data, p.offset, end),
            end == data.length,
            p.snapshot.members()),
        true);
    p.inFlight = p.snapshot.lastIndex();
    p.sentAt = replica.now;
  }

  private void acknowledged(Progress p, long ackedRound) {
    p.ackedAt = replica.now;
    p.ackedRound = Math.max(p.ackedRound, ackedRound);
    acknowledge();
  }

  /** Extends the lease and releases the reads that a quorum has confirmed. */
  private void acknowledge() {
    long confirmed =
        members().quorumValue(m -> isSelf(m.id()) ? round : others.get(m.id()).ackedRound);
    Long sent = roundsSent.get(confirmed);
    if (sent != null) {
      leaseUntil = Math.max(leaseUntil, sent + replica.timing.leaseMillis());
      roundsSent.headMap(confirmed, false).clear();
    }
    if (!isEstablished()) {
      return;
    }
    reads.removeIf(
        r -> {
          if (r.round() > confirmed) {
            return false;
          }
          replica.emit(new Effect.ReadReady(r.id()));
          return true;
        });
  }

  private void advanceCommit() {
    proposals.copied(copiedIndex(), replica);
    long index = members().quorumValue(this::durableIndex);
    // Only an entry of the own term shows that a later leader must have it.
    if (index > replica.commit && replica.log.termAt(index) == replica.term()) {
      replica.commitTo(index, proposals);
      acknowledge();
      membership.advance();
    }
  }

  /** Returns the index up to which as many members as the policy asks for have the log. */
  private long copiedIndex() {
    long[] indexes = members().all().stream().mapToLong(this::durableIndex).sorted().toArray();
    int copies = replica.policy.copies();
    return indexes.length < copies ? 0 : indexes[indexes.length - copies];
  }

  private long durableIndex(Member m) {
    return isSelf(m.id()) ? replica.durable : others.get(m.id()).match;
  }

  private long ackedAt(String id) {
    return isSelf(id) ? replica.now : others.get(id).ackedAt;
  }

  private boolean isSelf(String id) {
    return id.equals(replica.self);
  }

  private Members members() {
    return replica.log.members();
  }

  private long electionMax() {
    return replica.timing.electionMaxMillis();
  }

  private long resendMillis() {
    return RESEND_HEARTBEATS * replica.timing.heartbeatMillis();
  }
}
