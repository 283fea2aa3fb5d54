package org.goldcrestfall.core.consensus;

import java.util.HashSet;
import java.util.Set;

/** Elections: pre-votes, votes, and the answers to both. */
final class Election {

  private final Replica replica;
  private final Set<String> votes = new HashSet<>();

  Election(Replica replica) {
    this.replica = replica;
  }

  /** Starts a pre-vote if no leader was heard for an election timeout. */
  void tick() {
    Members members = replica.log.members();
    if (replica.role == Role.LEADER || !replica.writable || !members.isVoter(replica.self)) {
      return;
    }
    // The only voter has granted no other leader a lease, so it need not wait.
    if (replica.now < replica.electionAt && members.voters().count() > 1) {
      return;
    }
    replica.resetElection();
    replica.role = Role.PRE_CANDIDATE;
    replica.leader = "";
    votes.clear();
    votes.add(replica.self);
    if (isWon()) {
      campaign();
    } else {
      ask(replica.term() + 1, true);
    }
  }

  /** Answers a request for a vote. */
  void answer(Message.VoteRequest m, boolean leads) {
    if (replica.heardLeader() || leads) {
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
      replica.follow(m.term(), "");
    }
    boolean free = replica.vote().isEmpty() || replica.vote().equals(m.from());
    boolean granted =
        m.term() == replica.term()
            && free
            && replica.writable
            && replica.isUpToDate(m.lastIndex(), m.lastTerm());
    if (granted) {
      replica.follow(replica.term(), replica.leader);
      replica.setHardState(replica.term(), m.from());
      replica.resetElection();
    }
    replica.sendAfterSync(
        new Message.VoteReply(replica.self, m.from(), replica.term(), granted, false), false);
  }

  /** Counts a vote; returns whether the election is won. */
  boolean count(Message.VoteReply m) {
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

  /** Counts a vote of this term; returns whether the election is won. */
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
    replica.voteAfterSync();
    ask(replica.term(), false);
  }

  private void ask(long term, boolean preVote) {
    replica
        .log
        .members()
        .voters()
        .filter(m -> !m.id().equals(replica.self))
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

  private boolean isWon() {
    return replica.log.members().isQuorum(votes);
  }
}
