package org.goldcrestfall.core.consensus;

import java.util.List;

/**
 * One member of a replicated log. It follows the Raft protocol (Ongaro, "Consensus: Bridging Theory
 * and Practice", 2014) with pre-vote, check-quorum, leader leases, read rounds, snapshots and
 * single-server membership changes. It does no I/O: every event returns the effects to be carried
 * out, in order. It is not thread-safe.
 */
public final class Consensus {

  private final Replica replica;
  private final Follower follower;
  private final Election election;
  private Leader leader;

  /**
   * Starts a member from what its disk holds.
   *
   * @param self the member id
   * @param seed the seed of the election timeouts
   */
  public Consensus(String self, Stored stored, Timing timing, long seed, long nowMillis) {
    this(self, stored, timing, GroupPolicy.FIXED, seed, nowMillis);
  }

  /** Starts a member of a group with a policy. */
  public Consensus(
      String self, Stored stored, Timing timing, GroupPolicy policy, long seed, long nowMillis) {
    this(self, stored, timing, policy, Limits.DEFAULT, seed, nowMillis);
  }

  Consensus(String self, Stored stored, Timing timing, Limits limits, long seed, long nowMillis) {
    this(self, stored, timing, GroupPolicy.FIXED, limits, seed, nowMillis);
  }

  Consensus(
      String self,
      Stored stored,
      Timing timing,
      GroupPolicy policy,
      Limits limits,
      long seed,
      long nowMillis) {
    replica = new Replica(self, stored, timing, policy, limits, seed, nowMillis);
    follower = new Follower(replica);
    election = new Election(replica);
  }

  /** Handles an event; {@code nowMillis} must not run backwards. */
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
    } else if (event instanceof Event.Persisted e) {
      persisted(e.sequence());
    } else if (event instanceof Event.DiskChanged e) {
      replica.writable = e.writable();
    } else if (event instanceof Event.SnapshotTaken e) {
      if (e.snapshot().lastIndex() > replica.log.snapshot().lastIndex()) {
        replica.log.compact(e.snapshot());
      }
    }
    checkLeadership();
    return replica.drain();
  }

  private void tick() {
    if (leader != null && leader.tick()) {
      replica.follow(replica.term(), "");
    }
    election.tick();
  }

  private void receive(Message m) {
    if (!m.to().equals(replica.self)) {
      return;
    }
    if (m instanceof Message.VoteRequest request) {
      election.answer(request, leader != null && leader.mayHoldLease());
      return;
    }
    boolean granted = m instanceof Message.VoteReply v && v.preVote() && v.granted();
    if (m.term() > replica.term() && !granted) {
      replica.follow(m.term(), "");
    }
    checkLeadership();
    if (m instanceof Message.VoteReply reply) {
      if (election.count(reply)) {
        leader = new Leader(replica);
      }
    } else if (m instanceof Message.AppendRequest request) {
      follower.append(request);
    } else if (m instanceof Message.SnapshotChunk chunk) {
      follower.receive(chunk);
    } else if (m instanceof Message.AppendReply reply && leader != null) {
      leader.appended(reply);
    } else if (m instanceof Message.SnapshotReply reply && leader != null) {
      leader.installed(reply);
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
    boolean voted = replica.persisted(sequence);
    if (voted && election.countVote(replica.self)) {
      leader = new Leader(replica);
    }
    if (leader != null) {
      leader.persisted();
    }
    follower.persisted();
  }

  private void checkLeadership() {
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

  /** Returns the member id of the leader of this term, or an empty string. */
  public String leader() {
    return replica.leader;
  }

  /** Returns the index up to which entries are known to be committed. */
  public long commitIndex() {
    return replica.commit;
  }

  /** Returns the index of the last entry, on disk or not. */
  public long lastIndex() {
    return replica.log.lastIndex();
  }

  /** Returns the newest member list, committed or not. */
  public Members members() {
    return replica.log.members();
  }

  /** Returns the member list as of an index that is still in memory. */
  public Members membersAt(long index) {
    return replica.log.membersAt(index);
  }

  /** Returns the term of an entry that is still in memory, or -1. */
  public long termAt(long index) {
    return replica.log.termAt(index);
  }

  /** Returns whether this member leads and no other member can lead at the given time. */
  public boolean isLeaderWithLease(long nowMillis) {
    return leader != null && leader.hasLease(nowMillis);
  }

  /** Returns the lease's end if this member leads, otherwise 0. */
  public long leaseUntil() {
    return leader == null ? 0 : leader.leaseUntil();
  }
}
