package org.goldcrestfall.core.consensus;

import java.util.List;

/**
 * A member of a group that replicates a log. It implements the Raft protocol (Ongaro, "Consensus:
 * Bridging Theory and Practice", 2014) with pre-vote, check-quorum, leader leases, linearizable
 * reads by heartbeat rounds, snapshots and joint membership changes. It does no I/O: each event
 * returns the effects that the caller must carry out in order. This class is not thread-safe.
 */
public final class Consensus {

  private final Replica replica;
  private final Follower follower;
  private final Election election;
  private Leader leader;

  /**
   * Starts a member from the state that was read from its disk.
   *
   * @param self the member id
   * @param seed the seed of the random election timeouts
   */
  public Consensus(
      String self, PersistentState persistentState, Timing timing, long seed, long nowMillis) {
    this(self, persistentState, timing, GroupPolicy.FIXED, seed, nowMillis);
  }

  /** Starts a member of a group that follows {@code policy}. */
  public Consensus(
      String self,
      PersistentState persistentState,
      Timing timing,
      GroupPolicy policy,
      long seed,
      long nowMillis) {
    this(
        self,
        persistentState,
        timing,
        policy,
        ProtocolVersion.NEWEST,
        Limits.DEFAULT,
        seed,
        nowMillis);
  }

  Consensus(
      String self,
      PersistentState persistentState,
      Timing timing,
      Limits limits,
      long seed,
      long nowMillis) {
    this(
        self,
        persistentState,
        timing,
        GroupPolicy.FIXED,
        ProtocolVersion.NEWEST,
        limits,
        seed,
        nowMillis);
  }

  Consensus(
      String self,
      PersistentState persistentState,
      Timing timing,
      GroupPolicy policy,
      int supportedProtocol,
      Limits limits,
      long seed,
      long nowMillis) {
    replica =
        new Replica(
            self, persistentState, timing, policy, supportedProtocol, limits, seed, nowMillis);
    follower = new Follower(replica);
    election = new Election(replica);
  }

  /** Handles an event and returns its effects in order; {@code nowMillis} must not decrease. */
  public List<Effect> apply(Event event, long nowMillis) {
    replica.now = Math.max(replica.now, nowMillis);
    if (event instanceof Event.Tick) {
      tick();
    } else if (event instanceof Event.Received e) {
      receive(e.message());
    } else if (event instanceof Event.Propose e) {
      propose(e);
    } else if (event instanceof Event.Read e) {
      read(e);
    } else if (event instanceof Event.Join e) {
      if (leader != null) {
        leader.join(e.member());
      }
    } else if (event instanceof Event.Leave e) {
      if (leader != null) {
        leader.leave(e.memberId());
      }
    } else if (event instanceof Event.DiskLost e) {
      replica.recordLostDisk(e.memberId());
    } else if (event instanceof Event.Persisted e) {
      persisted(e.sequence());
    } else if (event instanceof Event.DiskChanged e) {
      replica.writable = e.writable();
    } else if (event instanceof Event.SnapshotTaken e) {
      if (e.snapshot().lastIndex() > replica.log.snapshot().lastIndex()) {
        replica.log.compact(e.snapshot());
      }
    }
    endLeadershipIfDeposed();
    return replica.drain();
  }

  private void tick() {
    if (leader != null && leader.tick()) {
      replica.becomeFollower(replica.term(), "");
    }
    election.tick();
  }

  private void receive(Message m) {
    if (!m.to().equals(replica.self)) {
      return;
    }
    if (m instanceof Message.VoteRequest request) {
      election.onVoteRequest(request, leader != null && leader.mayHoldLease());
      return;
    }
    boolean preVoteGranted = m instanceof Message.VoteReply v && v.preVote() && v.granted();
    if (m.term() > replica.term() && !preVoteGranted) {
      replica.becomeFollower(m.term(), "");
    }
    endLeadershipIfDeposed();
    if (m instanceof Message.VoteReply reply) {
      if (election.onVoteReply(reply)) {
        leader = new Leader(replica, election.lostDisks());
      }
    } else if (m instanceof Message.AppendRequest request) {
      follower.onAppendRequest(request);
    } else if (m instanceof Message.SnapshotChunk chunk) {
      follower.onSnapshotChunk(chunk);
    } else if (m instanceof Message.AppendReply reply && leader != null) {
      leader.onAppendReply(reply);
    } else if (m instanceof Message.SnapshotReply reply && leader != null) {
      leader.onSnapshotReply(reply);
    }
  }

  private void propose(Event.Propose e) {
    if (leader == null || !replica.writable) {
      replica.emit(new Effect.ProposalFailed(e.id(), false));
    } else {
      leader.propose(e.id(), e.command());
    }
  }

  private void read(Event.Read e) {
    if (leader == null) {
      replica.emit(new Effect.ReadFailed(e.id()));
    } else {
      leader.read(e.id());
    }
  }

  private void persisted(long sequence) {
    boolean voted = replica.onPersisted(sequence);
    if (voted && election.countVote(replica.self)) {
      leader = new Leader(replica, election.lostDisks());
    }
    if (leader != null) {
      leader.onPersisted();
    }
    follower.onPersisted();
  }

  private void endLeadershipIfDeposed() {
    if (leader != null && replica.role != Role.LEADER) {
      leader.stop();
      leader = null;
    }
  }

  /** Returns the id of this member. */
  public String self() {
    return replica.self;
  }

  /** Returns the current role. */
  public Role role() {
    return replica.role;
  }

  /** Returns the current term. */
  public long term() {
    return replica.term();
  }

  /** Returns the member id of the leader of this term, or an empty string if it is unknown. */
  public String leader() {
    return replica.leaderId;
  }

  /** Returns the index up to which entries are known to be committed. */
  public long commitIndex() {
    return replica.commitIndex;
  }

  /** Returns the index of the last entry, whether or not it is on disk yet. */
  public long lastIndex() {
    return replica.log.lastIndex();
  }

  /** Returns the newest member list, whether or not it is committed. */
  public Members members() {
    return replica.log.members();
  }

  /**
   * Returns the members whose replies may decide: those of the newest list, and the voters of the
   * list before it until the newest one is known to be committed.
   */
  public List<Member> decidingMembers() {
    return replica.decidingMembers();
  }

  /** Returns the newest member list that is known to decide alone. */
  Members decidedMembers() {
    return replica.log.decidedAt(replica.commitIndex);
  }

  /** Returns what has become of a member's wish to leave the group, as far as this member knows. */
  public Departure departure(String memberId) {
    if (leader != null) {
      return leader.departure(memberId);
    }
    return memberId.equals(replica.self) && replica.hasLeft(memberId)
        ? Departure.DONE
        : Departure.UNKNOWN;
  }

  /**
   * Returns the member list in effect at an index, or {@link Members#NONE} if the index lies before
   * the part of the log in memory.
   */
  public Members membersAt(long index) {
    return replica.log.membersAt(index);
  }

  /** Returns the term of the entry at an index, or -1 if it is not in memory. */
  public long termAt(long index) {
    return replica.log.termAt(index);
  }

  /**
   * Returns whether this member leads and its lease rules out any other leader at the given time.
   */
  public boolean isLeaderWithLease(long nowMillis) {
    return leader != null && leader.hasLease(nowMillis);
  }

  /**
   * Returns the end of the lease on this member's clock in milliseconds, or 0 if this member has
   * had no lease in its current leadership.
   */
  public long leaseUntil() {
    return leader == null ? 0 : leader.leaseUntil();
  }
}
