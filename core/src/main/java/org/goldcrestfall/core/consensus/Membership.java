package org.goldcrestfall.core.consensus;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Membership changes of one leadership, one at a time. A host that lost its disk joins as a learner
 * under a new id; once its log has reached the commit index, its old id is removed and then the
 * learner gets the vote. A member that answers is not replaced, so that two processes under one
 * host name do not take turns. In an open group any host joins this way, and a voter that is lost
 * is removed once another host has taken its place.
 */
final class Membership {

  /** A voter of an open group that has not answered for so long is taken for lost. */
  private static final long LOST_MILLIS = 4_000;

  private final Replica replica;
  private final Leader leader;
  private final TreeMap<String, Member> joining = new TreeMap<>();

  Membership(Replica replica, Leader leader) {
    this.replica = replica;
    this.leader = leader;
  }

  void join(Member member) {
    boolean replacesLiveOne = members().voters().anyMatch(v -> isOldOf(v, member) && answers(v));
    if (members().find(member.id()).isEmpty() && !replacesLiveOne) {
      joining.put(member.host(), member.withVoter(false));
      advance();
    }
  }

  /** Proposes the next change, if the one before is committed. */
  void advance() {
    if (!leader.isEstablished() || replica.log.membersIndex() > replica.commit) {
      return;
    }
    while (!joining.isEmpty()) {
      Member member = joining.pollFirstEntry().getValue();
      if (members().find(member.id()).isEmpty()) {
        leader.change(members().withLearner(member));
        return;
      }
    }
    for (Member m : members().all()) {
      if (!m.voter() && isCaughtUp(m)) {
        Optional<Member> old = members().voters().filter(v -> isOldOf(v, m)).findAny();
        if (old.isEmpty()) {
          leader.change(members().withVoter(m.id()));
          return;
        }
        if (!answers(old.get())) {
          leader.change(members().without(old.get().id()));
          return;
        }
      }
    }
    removeLostVoter();
  }

  /**
   * Removes a voter that is lost from an open group of an even size. Such a group bears no more
   * losses than one with a voter less, so nothing is given up, and a group of odd size keeps its
   * lost voters until a new host has joined.
   */
  private void removeLostVoter() {
    if (!replica.policy.open() || members().voters().count() % 2 != 0) {
      return;
    }
    Optional<Member> lost = members().voters().filter(v -> isSilentFor(v, LOST_MILLIS)).findFirst();
    lost.ifPresent(m -> leader.change(members().without(m.id())));
  }

  private boolean isCaughtUp(Member learner) {
    Progress p = leader.progress(learner.id());
    return p != null && p.match >= replica.commit && answers(learner);
  }

  private static boolean isOldOf(Member voter, Member joining) {
    return voter.host().equals(joining.host());
  }

  /** Returns whether a member is this one or has just answered. */
  private boolean answers(Member member) {
    return !isSilentFor(member, replica.timing.electionMinMillis());
  }

  private boolean isSilentFor(Member member, long millis) {
    Progress p = leader.progress(member.id());
    return p != null && p.ackedAt + millis <= replica.now;
  }

  private Members members() {
    return replica.log.members();
  }
}
