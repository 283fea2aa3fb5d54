package org.goldcrestfall.core.consensus;

import static java.util.Comparator.comparing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Membership changes during one leadership. A host joins as a learner and becomes a voter once its
 * log has reached the commit index. In the same change, the voters that it makes dispensable are
 * removed: the earlier id of its host, if that one has lost its disk, members that asked to leave,
 * and in an open group voters that are silent. None is released if fewer voters than the policy
 * requires would be left, so a member that is only restarted keeps its vote.
 *
 * <p>A change of voters takes two entries: until the first one is known to be committed, the
 * quorums of the lists before and after it are both needed. The second one repeats the list; a log
 * that has it proves the commit, also after a restart. The next change follows when it is
 * committed. Until all members support {@link ProtocolVersion#JOINT_CHANGES}, and in a group that
 * bears no lost disks, each change adds, promotes or removes one member: its quorum overlaps those
 * of the list before it, so that a member may fail as soon as another one has its vote back.
 */
final class Membership {

  /**
   * Time without a message after which a voter of an open group may be removed. Its removal costs
   * no tolerance of failures, and a member that was removed too early joins again.
   */
  private static final long SILENT_VOTER_MILLIS = 1_500;

  private final Replica replica;
  private final Leader leader;
  private final TreeMap<String, Member> joiningByHost = new TreeMap<>();

  /** The time of the last wish to leave by member id. A member repeats it until it has left. */
  private final Map<String, Long> leaveAskedAt = new HashMap<>();

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

  void leave(String id) {
    if (replica.policy.openMembership() && members().find(id).isPresent()) {
      leaveAskedAt.put(id, replica.now);
      proposeNextChange();
    }
  }

  /**
   * Returns what has become of a member's wish to leave. A member that the group needs waits while
   * another one is silent, so that hosts that are restarted in turn are not down together.
   */
  Departure departure(String id) {
    if (!leader.isEstablished() || isChanging()) {
      return Departure.PENDING;
    }
    if (members().find(id).isEmpty()) {
      return Departure.DONE;
    }
    boolean learnerWillVote =
        members().all().stream().anyMatch(m -> !m.voter() && isResponsive(m) && !isLeaving(m));
    boolean othersRespond =
        members().voters().allMatch(v -> v.id().equals(id) || hasRepliedRecently(v));
    boolean mayChange = learnerWillVote || hasSpareVoter(members()) || !othersRespond;
    return replica.policy.openMembership() && mayChange ? Departure.PENDING : Departure.REFUSED;
  }

  /** Proposes the next change if the previous one is committed. */
  void proposeNextChange() {
    if (!leader.isEstablished() || replica.log.membersIndex() > replica.commitIndex) {
      return;
    }
    if (replica.log.changesQuorum()) {
      leader.changeMembers(members());
      return;
    }
    joiningByHost.values().removeIf(m -> members().find(m.id()).isPresent());
    leaveAskedAt.keySet().removeIf(id -> members().find(id).isEmpty());
    Members next = nextMembers();
    if (!next.equals(members())) {
      leader.changeMembers(next);
    }
  }

  /** Returns whether the newest change of voters is not committed together with its repetition. */
  private boolean isChanging() {
    return replica.log.membersIndex() > replica.commitIndex || replica.log.changesQuorum();
  }

  private Members nextMembers() {
    if (canRaiseProtocol()) {
      return members().withProtocol(replica.supportedProtocol);
    }
    Members next = members();
    for (UnaryOperator<Members> step : steps()) {
      next = step.apply(next);
      if (!changesJointly() && !next.equals(members())) {
        return next;
      }
    }
    return next;
  }

  private boolean changesJointly() {
    return members().protocol() >= ProtocolVersion.JOINT_CHANGES && replica.policy.bearsLostDisks();
  }

  /** Returns the steps of a change in order; each one changes a list by one member at most. */
  private List<UnaryOperator<Members>> steps() {
    List<Member> all = members().all();
    List<UnaryOperator<Members>> steps = new ArrayList<>();
    joiningByHost.values().forEach(m -> steps.add(list -> list.withLearner(m)));
    all.stream().filter(m -> !m.voter()).forEach(m -> steps.add(list -> promote(m, list)));
    all.stream()
        .filter(this::isSilent)
        .sorted(comparing(this::mayComeBack).thenComparing(this::silentSinceMillis))
        .forEach(m -> steps.add(list -> removeSilent(m, list)));
    all.stream().filter(this::isLeaving).forEach(m -> steps.add(list -> release(m, list)));
    return steps;
  }

  /**
   * Returns whether all members have told this leader that they support the newest protocol that it
   * supports itself. Learners that do not reply are left out, since they decide nothing.
   */
  private boolean canRaiseProtocol() {
    int protocol = replica.supportedProtocol;
    return members().protocol() < protocol
        && members().all().stream()
            .filter(m -> m.voter() || isResponsive(m))
            .map(m -> leader.progress(m.id()))
            .allMatch(p -> p == null || p.protocol >= protocol);
  }

  /**
   * Returns a list in which a learner has the vote, in place of its host's earlier id if there is
   * one; the same list if the learner must wait. A responsive member is not replaced, so that two
   * processes with the same host name do not keep replacing each other.
   */
  private Members promote(Member learner, Members list) {
    if (!isCaughtUp(learner) || isLeaving(learner)) {
      return list;
    }
    Optional<Member> old = list.voters().filter(v -> isPredecessor(v, learner)).findAny();
    if (old.isEmpty()) {
      return list.withVoter(learner.id());
    }
    if (isResponsive(old.get())) {
      return list;
    }
    Members without = list.without(old.get().id());
    return changesJointly() ? without.withVoter(learner.id()) : without;
  }

  /**
   * Returns a list without a member that asked to leave, if as many voters as the policy requires
   * remain that have replied to this leader; otherwise the same list.
   */
  private Members release(Member leaving, Members list) {
    Members without = list.without(leaving.id());
    boolean dispensable =
        !list.isVoter(leaving.id())
            || without.voters().filter(this::hasRepliedRecently).count()
                >= replica.policy.minVoters();
    return dispensable ? without : list;
  }

  /** Returns whether a silent member may take part again: its disk is not known to be lost. */
  private boolean mayComeBack(Member silent) {
    return !replica.lostDisks().contains(silent.id());
  }

  private long silentSinceMillis(Member silent) {
    return leader.progress(silent.id()).silentSinceMillis;
  }

  private Members removeSilent(Member silent, Members list) {
    return list.isVoter(silent.id()) && costsNothing(list) ? list.without(silent.id()) : list;
  }

  /** Returns whether a list with one voter fewer has as many as the policy requires. */
  private boolean hasSpareVoter(Members list) {
    return list.voters().count() > replica.policy.minVoters();
  }

  /**
   * Returns whether the removal of a silent voter costs no tolerance of failures. A group with an
   * even number of voters tolerates no more of them than one with one voter fewer.
   */
  private boolean costsNothing(Members list) {
    return replica.policy.openMembership()
        && (hasSpareVoter(list) || list.voters().count() % 2 == 0);
  }

  private boolean isCaughtUp(Member learner) {
    Progress p = leader.progress(learner.id());
    return p != null && p.matchIndex >= replica.commitIndex && isResponsive(learner);
  }

  private static boolean isPredecessor(Member voter, Member joining) {
    return voter.host().equals(joining.host());
  }

  /**
   * Returns whether a member is this one or has replied within the shortest election timeout. A new
   * leader takes all members for responsive until that time has passed.
   */
  private boolean isResponsive(Member member) {
    Progress p = leader.progress(member.id());
    return p == null || p.ackedAtMillis + replica.timing.electionMinMillis() > replica.now;
  }

  private boolean hasRepliedRecently(Member member) {
    Progress p = leader.progress(member.id());
    return isResponsive(member) && (p == null || p.hasReplied);
  }

  private boolean isLeaving(Member member) {
    Long askedAt = leaveAskedAt.get(member.id());
    return askedAt != null && askedAt + replica.timing.electionMinMillis() > replica.now;
  }

  private boolean isSilent(Member member) {
    Progress p = leader.progress(member.id());
    return p != null && p.silentSinceMillis + SILENT_VOTER_MILLIS <= replica.now;
  }

  private Members members() {
    return replica.log.members();
  }
}
