package org.goldcrestfall.core.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The leader's side of replication in one term: sends heartbeats, entries and snapshots, and tracks
 * the lease and the pending reads. Times are in milliseconds on this member's clock.
 */
final class Leader {

  /** The number of heartbeat intervals after which unacknowledged entries or chunks are resent. */
  private static final int RESEND_AFTER_HEARTBEATS = 3;

  /** A read that may be served once a quorum has acknowledged a heartbeat round. */
  private record PendingRead(long id, long round) {}

  private final Replica replica;
  private final Map<String, Progress> progressById = new HashMap<>();
  private final Proposals proposals = new Proposals();

  /**
   * The sending time of each heartbeat round, starting with the last one that a quorum
   * acknowledged.
   */
  private final TreeMap<Long, Long> roundSentAt = new TreeMap<>();

  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final Membership membership;

  /** The members that had lost their disks before the election of this leader began. */
  private final Set<String> lostDisks;

  /** The index of the first entry of this term. */
  private final long firstIndex;

  /** The number of the latest heartbeat round. */
  private long round;

  private long nextHeartbeatAt;
  private long leaseUntil;

  Leader(Replica replica, Set<String> lostDisks) {
    this.replica = replica;
    this.lostDisks = lostDisks;
    membership = new Membership(replica, this);
    replica.role = Role.LEADER;
    replica.leaderId = replica.self;
    firstIndex = replica.log.lastIndex() + 1;
    if (replica.log.lastIndex() == 0) {
      // Only the founding members know the first member list, so it precedes every other entry.
      append(Entry.Type.MEMBERS, members().toBytes());
    } else {
      append(Entry.Type.NOOP, new byte[0]);
    }
    heartbeat();
  }

  /**
   * Returns whether the leader must step down: it has had no reply from a quorum for an election
   * timeout, it cannot write to disk, or it has left the group. Otherwise sends a heartbeat if it
   * is due.
   */
  boolean tick() {
    boolean reachesQuorum =
        quorum().isReachedBy(m -> ackedAt(m) + electionMaxMillis() > replica.now);
    if (!reachesQuorum || !replica.writable || replica.hasLeft(replica.self)) {
      return true;
    }
    if (replica.now >= nextHeartbeatAt) {
      heartbeat();
    }
    membership.proposeNextChange();
    return false;
  }

  void propose(long id, byte[] command) {
    Entry entry = append(Entry.Type.COMMAND, command);
    proposals.add(entry.index(), id);
    progressById.forEach(this::replicate);
  }

  void read(long id) {
    if (replica.policy.leaseReads() && hasLease(replica.now)) {
      replica.emit(new Effect.ReadReady(id));
      return;
    }
    pendingReads.add(new PendingRead(id, round + 1));
    heartbeat();
  }

  void join(Member member) {
    membership.join(member);
  }

  void leave(String id) {
    membership.leave(id);
  }

  Departure departure(String id) {
    return membership.departure(id);
  }

  /** Returns whether the lease that a quorum granted rules out another leader at the given time. */
  boolean hasLease(long nowMillis) {
    return isEstablished() && nowMillis < leaseUntil;
  }

  /**
   * Returns whether an entry of this term is committed; only then is the commit index up to date.
   */
  boolean isEstablished() {
    return replica.commitIndex >= firstIndex;
  }

  /** Returns the end of the lease, or 0 before {@link #isEstablished}. */
  long leaseUntil() {
    return isEstablished() ? leaseUntil : 0;
  }

  /** Returns whether a lease may be running, even if this leader is not established yet. */
  boolean mayHoldLease() {
    return replica.now < leaseUntil;
  }

  void onAppendReply(Message.AppendReply m) {
    Progress p = progressById.get(m.from());
    if (p == null || m.term() != replica.term()) {
      return;
    }
    p.protocol = m.protocol();
    recordAcknowledgement(p, m.round());
    if (m.success()) {
      p.matchIndex = Math.max(p.matchIndex, m.matchIndex());
      p.nextIndex = Math.max(p.nextIndex, p.matchIndex + 1);
      if (p.matchIndex >= p.inFlightIndex) {
        p.inFlightIndex = 0;
      }
      if (p.snapshot != null && p.matchIndex >= p.snapshot.lastIndex()) {
        p.snapshot = null;
      }
    } else if (m.matchIndex() < p.nextIndex) {
      p.nextIndex = Math.max(p.matchIndex + 1, m.matchIndex());
      p.inFlightIndex = 0;
    }
    advanceCommit();
    replicate(m.from(), p);
  }

  void onSnapshotReply(Message.SnapshotReply m) {
    Progress p = progressById.get(m.from());
    if (p == null || m.term() != replica.term()) {
      return;
    }
    p.recordReply(replica.now);
    if (p.snapshot == null || p.snapshot.lastIndex() != m.lastIndex()) {
      return;
    }
    if (m.done()) {
      p.matchIndex = Math.max(p.matchIndex, m.lastIndex());
      p.nextIndex = p.matchIndex + 1;
      p.snapshot = null;
      p.inFlightIndex = 0;
      advanceCommit();
    } else if (m.nextOffset() != p.snapshotOffset) {
      p.snapshotOffset = (int) Math.min(m.nextOffset(), p.snapshot.data().length);
      p.inFlightIndex = 0;
    }
    replicate(m.from(), p);
  }

  void onPersisted() {
    advanceCommit();
  }

  /** Ends the leadership and fails all pending proposals and reads. */
  void stop() {
    proposals.failAll(replica);
    pendingReads.forEach(r -> replica.emit(new Effect.ReadFailed(r.id())));
  }

  /** Appends a new member list, which takes effect at once. */
  void changeMembers(Members newMembers) {
    append(Entry.Type.MEMBERS, newMembers.toBytes());
    progressById.forEach(this::replicate);
    advanceCommit();
  }

  Progress progress(String id) {
    return progressById.get(id);
  }

  private Entry append(Entry.Type type, byte[] payload) {
    Entry entry = new Entry(replica.term(), replica.log.lastIndex() + 1, type, payload);
    replica.log.append(entry);
    replica.persistEntries(entry.index(), List.of(entry));
    updateProgress();
    return entry;
  }

  private void updateProgress() {
    List<Member> members = replica.decidingMembers();
    progressById.keySet().retainAll(members.stream().map(Member::id).toList());
    for (Member m : members) {
      if (!isSelf(m)) {
        progressById.computeIfAbsent(
            m.id(),
            id -> new Progress(replica.log.lastIndex(), replica.now, silentSinceMillis(id)));
      }
    }
  }

  /** The previous leader was last heard before the election, and all others at the vote. */
  private long silentSinceMillis(String id) {
    return id.equals(replica.lastLeaderId) ? replica.leaderHeardAt : replica.now;
  }

  private void heartbeat() {
    roundSentAt.put(++round, replica.now);
    nextHeartbeatAt = replica.now + replica.timing.heartbeatMillis();
    progressById.forEach(
        (id, p) -> {
          if (p.inFlightIndex > 0 && replica.now >= p.sentAtMillis + resendMillis()) {
            p.inFlightIndex = 0;
            p.nextIndex = p.matchIndex + 1;
          }
          if (!replicate(id, p)) {
            long previous = replica.log.termAt(p.matchIndex) < 0 ? 0 : p.matchIndex;
            sendEntries(id, previous, List.of());
          }
        });
    extendLeaseAndReleaseReads();
  }

  /**
   * Sends missing entries or a snapshot chunk to a member unless some are in flight. Returns
   * whether entries were sent; if so, the member needs no separate heartbeat.
   */
  private boolean replicate(String id, Progress p) {
    if (p.inFlightIndex > 0) {
      return false;
    }
    if (p.snapshot != null || p.nextIndex <= replica.log.baseIndex()) {
      sendChunk(id, p);
      return false;
    }
    if (p.nextIndex > replica.log.lastIndex()) {
      return false;
    }
    List<Entry> entries = replica.log.entriesFrom(p.nextIndex);
    sendEntries(id, p.nextIndex - 1, entries);
    p.inFlightIndex = p.nextIndex + entries.size() - 1;
    p.nextIndex = p.inFlightIndex + 1;
    p.sentAtMillis = replica.now;
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
            replica.commitIndex,
            round));
  }

  private void sendChunk(String id, Progress p) {
    if (p.snapshot == null || p.snapshot.lastIndex() < replica.log.baseIndex()) {
      p.snapshot = replica.log.snapshot();
      p.snapshotOffset = 0;
    }
    byte[] data = p.snapshot.data();
    int end = Math.min(data.length, p.snapshotOffset + replica.limits.chunkBytes());
    replica.sendAfterSync(
        new Message.SnapshotChunk(
            replica.self,
            id,
            replica.term(),
            p.snapshot.lastIndex(),
            p.snapshot.lastTerm(),
            p.snapshotOffset,
            Arrays.copyOfRange(data, p.snapshotOffset, end),
            end == data.length,
            p.snapshot.members()),
        true);
    p.inFlightIndex = p.snapshot.lastIndex();
    p.sentAtMillis = replica.now;
  }

  private void recordAcknowledgement(Progress p, long ackedRound) {
    p.recordReply(replica.now);
    p.ackedRound = Math.max(p.ackedRound, ackedRound);
    extendLeaseAndReleaseReads();
  }

  /** Extends the lease and serves the reads whose round a quorum has acknowledged. */
  private void extendLeaseAndReleaseReads() {
    long confirmedRound = quorum().reachedValue(this::ackedRound);
    Long sentAt = roundSentAt.get(confirmedRound);
    if (sentAt != null) {
      leaseUntil = Math.max(leaseUntil, sentAt + replica.timing.leaseMillis());
      roundSentAt.headMap(confirmedRound, false).clear();
    }
    if (!isEstablished()) {
      return;
    }
    pendingReads.removeIf(
        r -> {
          if (r.round() > confirmedRound) {
            return false;
          }
          replica.emit(new Effect.ReadReady(r.id()));
          return true;
        });
  }

  private void advanceCommit() {
    proposals.onDurablyCopied(durablyCopiedIndex(), replica);
    long index = quorum().reachedValue(this::durableIndex);
    // A later leader could still overwrite an entry of an older term, so only an entry of the
    // current term is committed by counting copies.
    if (index > replica.commitIndex && replica.log.termAt(index) == replica.term()) {
      replica.commitTo(index, proposals);
      extendLeaseAndReleaseReads();
      membership.proposeNextChange();
    }
  }

  /** Returns the index up to which the required number of members has the log on disk. */
  private long durablyCopiedIndex() {
    long[] indexes = members().all().stream().mapToLong(this::durableIndex).sorted().toArray();
    int copies = replica.policy.durableCopies();
    return indexes.length < copies ? 0 : indexes[indexes.length - copies];
  }

  private Quorum quorum() {
    return replica.quorum(lostDisks);
  }

  private long durableIndex(Member m) {
    return isSelf(m) ? replica.durableIndex : ofProgress(m, p -> p.matchIndex, 0);
  }

  private long ackedRound(Member m) {
    return isSelf(m) ? round : ofProgress(m, p -> p.ackedRound, 0);
  }

  private long ackedAt(Member m) {
    return isSelf(m) ? replica.now : ofProgress(m, p -> p.ackedAtMillis, Long.MIN_VALUE / 2);
  }

  /** Returns a value of a member's progress, or a default value if there is none. */
  private long ofProgress(Member m, ToLongFunction<Progress> value, long defaultValue) {
    Progress p = progressById.get(m.id());
    return p == null ? defaultValue : value.applyAsLong(p);
  }

  private boolean isSelf(Member m) {
    return m.id().equals(replica.self);
  }

  private Members members() {
    return replica.log.members();
  }

  private long electionMaxMillis() {
    return replica.timing.electionMaxMillis();
  }

  private long resendMillis() {
    return RESEND_AFTER_HEARTBEATS * replica.timing.heartbeatMillis();
  }
}
