package org.goldcrestfall.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Membership changes during one leadership, one at a time. A host that lost its disk joins as a
 * learner under a new id. Once its log has reached the commit index, its old id is removed, and
 * then the learner is promoted to a voter. A responsive member is not replaced, so that two
 * processes with the same host name do not keep replacing each other. In an open group any host
 * joins this way, and a lost voter is removed once another host has replaced it.
 */
final class Membership {

  /**
   * Time without a message after which a voter of an open group counts as lost. A voter that is
   * removed too early joins again, but until a dead one is removed, the group tolerates one failure
   * fewer.
   */
  private static final long LOST_VOTER_MILLIS = 1_500;

  private final Replica replica;
  private final Leader leader;
  private final TreeMap<String, Member> joiningByHost = new TreeMap<>();

  Membership(Replica replica, Leader leader) {
    this.replica = replica;
    this.leader = leader;
  }

  void join(Member member) {
    boolean replacesResponsiveVoter =
        members().voters().anyMatch(v -> isPredecessor(v, member) && isResponsive(v));
    if (members().find(member.id()).isEmpty() && !replacesResponsiveVoter) {
      joiningByHost.put(member.host(), member.withVoter(false));
      proposeNextChange();
    }
  }

  /** Proposes the next change if the previous one is committed. */
  void proposeNextChange() {
    if (!leader.isEstablished() || replica.log.membersIndex() > replica.commitIndex) {
      return;
    }
    if (replica.log.changesVoters() && isHalvedListInvolved()) {
      // The repeated list is the proof in the log that the change is committed; see Quorum.
      leader.changeMembers(members());
      return;
    }
    while (!joiningByHost.isEmpty()) {
      Member member = joiningByHost.pollFirstEntry().getValue();
      if (members().find(member.id()).isEmpty()) {
        leader.changeMembers(members().withLearner(member));
        return;
      }
    }
    for (Member m : members().all()) {
      if (!m.voter() && isCaughtUp(m)) {
        Optional<Member> old = members().voters().filter(v -> isPredecessor(v, m)).findAny();
        if (old.isEmpty()) {
          leader.changeMembers(members().withVoter(m.id()));
          return;
        }
        if (!isResponsive(old.get())) {
          leader.changeMembers(members().without(old.get().id()));
          return;
        }
      }
    }
    removeLostVoter();
  }

  private boolean isHalvedListInvolved() {
    Members before = replica.log.membersAt(replica.log.membersIndex() - 1);
    return Quorum.mayBeHalved(members(), replica.policy)
        || Quorum.mayBeHalved(before, replica.policy);
  }

  /**
   * Removes a lost voter from an open group if that costs no tolerance of failures. A group with an
   * even number of voters tolerates no more failures than one with one voter fewer. One with an odd
   * number and a lost voter tolerates as many more as the even group without it, but is not shrunk
   * below the size that the policy requires; it then keeps its lost voters until a new host has
   * joined.
   */
  private void removeLostVoter() {
    if (!replica.policy.openMembership()) {
      return;
    }
    long voters = members().voters().count();
    List<Member> lost = members().voters().filter(this::isLost).toList();
    boolean even = voters % 2 == 0;
    boolean tooLarge = voters - 2 >= replica.policy.minVoters();
    if (!lost.isEmpty() && (even || tooLarge)) {
      leader.changeMembers(members().without(lost.get(0).id()));
    }
  }

  private boolean isCaughtUp(Member learner) {
    Progress p = leader.progress(learner.id());
    return p != null && p.matchIndex >= replica.commitIndex && isResponsive(learner);
  }

  private static boolean isPredecessor(Member voter, Member joining) {
    return voter.host().equals(joining.host());
  }

  /** Returns whether a member is this one or has replied within the shortest election timeout. */
  private boolean isResponsive(Member member) {
    Progress p = leader.progress(member.id());
    return p == null || p.ackedAtMillis + replica.timing.electionMinMillis() > replica.now;
  }

  private boolean isLost(Member member) {
    Progress p = leader.progress(member.id());
    return p != null && p.silentSinceMillis + LOST_VOTER_MILLIS <= replica.now;
  }

  private Members members() {
    return replica.log.members();
  }
}
