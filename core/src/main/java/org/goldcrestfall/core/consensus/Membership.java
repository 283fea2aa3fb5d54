package org.goldcrestfall.core.consensus;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Membership changes of one leadership, one at a time. A host that lost its disk joins as a learner
 * under a new id; once its log has reached the commit index, its old id is removed and then the
 * learner gets the vote. A member that answers is not replaced, so that two processes under one
 * host name do not take turns.
 */
final class Membership {

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
    Progress p = leader.progress(member.id());
    return p == null || p.ackedAt + replica.timing.electionMinMillis() > replica.now;
  }

  private Members members() {
    return replica.log.members();
  }
}
