package org.goldcrestfall.core.consensus;

import java.util.HashSet;
import java.util.Set;

/** Starts elections, counts pre-votes and votes, and replies to the vote requests of others. */
final class Election {

  private final Replica replica;
  private final Set<String> votes = new HashSet<>();

  /**
   * The members that had lost their disks before the election began. A member that loses its disk
   * later may have voted for another candidate before, so it is not left out of the quorum.
   */
  private Set<String> lostDisks = Set.of();

  Election(Replica replica) {
    this.replica = replica;
  }

  /**
   * Starts a pre-vote if the election timeout has passed without contact from a leader. A member
   * that cannot be elected forgets the leader instead.
   */
  void tick() {
    Members members = replica.log.members();
    if (replica.role == Role.LEADER) {
      return;
    }
    if (!replica.writable || !members.isVoter(replica.self)) {
      if (replica.now >= replica.electionDueAt) {
        replica.leaderId = "";
      }
      return;
    }
    // The only voter cannot have granted a lease to another leader, so it need not wait. Once it is
    // a candidate, a new term before its vote is synced would make that vote void.
    boolean mustWait = members.voters().count() > 1 || replica.role == Role.CANDIDATE;
    if (replica.now < replica.electionDueAt && mustWait) {
      return;
    }
    replica.resetElectionTimeout();
    replica.role = Role.PRE_CANDIDATE;
    replica.leaderId = "";
    lostDisks = replica.lostDisks();
    votes.clear();
    votes.add(replica.self);
    if (isWon()) {
      campaign();
    } else {
      requestVotes(replica.term() + 1, true);
    }
  }

  /** Replies to a vote request, unless a leader may hold a lease that this vote could break. */
  void onVoteRequest(Message.VoteRequest m, boolean mayHoldLease) {
    if (replica.hasHeardLeaderRecently() || mayHoldLease) {
      return;
    }
    if (m.preVote()) {
      boolean granted =
          m.term() > replica.term()
              && replica.writable
              && replica.isUpToDate(m.lastIndex(), m.lastTerm());
      long term = granted ? m.term() : replica.term();
      replica.sendAfterSync(
          new Message.VoteReply(replica.self, m.from(), term, granted, true), true);
      return;
    }
    if (m.term() > replica.term()) {
      replica.becomeFollower(m.term(), "");
    }
    boolean canVote = replica.vote().isEmpty() || replica.vote().equals(m.from());
    boolean granted =
        m.term() == replica.term()
            && canVote
            && replica.writable
            && replica.isUpToDate(m.lastIndex(), m.lastTerm());
    if (granted) {
      replica.becomeFollower(replica.term(), replica.leaderId);
      replica.setHardState(replica.term(), m.from());
      replica.resetElectionTimeout();
    }
    replica.sendAfterSync(
        new Message.VoteReply(replica.self, m.from(), replica.term(), granted, false), false);
  }

  /** Counts a granted pre-vote or vote; returns whether the election is won. */
  boolean onVoteReply(Message.VoteReply m) {
    if (!m.granted()) {
      return false;
    }
    if (m.preVote()) {
      if (replica.role == Role.PRE_CANDIDATE && m.term() == replica.term() + 1) {
        votes.add(m.from());
        if (isWon()) {
          campaign();
        }
      }
      return false;
    }
    return m.term() == replica.term() && countVote(m.from());
  }

  /** Counts a vote in the current term; returns whether the election is won. */
  boolean countVote(String voter) {
    if (replica.role != Role.CANDIDATE) {
      return false;
    }
    votes.add(voter);
    return isWon();
  }

  private void campaign() {
    replica.role = Role.CANDIDATE;
    replica.setHardState(replica.term() + 1, replica.self);
    votes.clear();
    replica.countOwnVoteAfterSync();
    requestVotes(replica.term(), false);
  }

  private void requestVotes(long term, boolean preVote) {
    replica.decidingMembers().stream()
        .filter(m -> m.voter() && !m.id().equals(replica.self))
        .forEach(
            m ->
                replica.sendAfterSync(
                    new Message.VoteRequest(
                        replica.self,
                        m.id(),
                        term,
                        replica.log.lastIndex(),
                        replica.log.lastTerm(),
                        preVote),
                    preVote));
  }

  /** Returns the members that had lost their disks before the last election began. */
  Set<String> lostDisks() {
    return lostDisks;
  }

  private boolean isWon() {
    return replica.quorum(lostDisks).isReachedBy(m -> votes.contains(m.id()));
  }
}
