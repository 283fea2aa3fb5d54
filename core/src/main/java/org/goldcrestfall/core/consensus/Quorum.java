package org.goldcrestfall.core.consensus;

import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides how many voters elect a leader, commit an entry or confirm a read: a majority. A list
 * with more voters than the policy requires, and an even number of them, may be halved: half of
 * them suffices if one is known to have lost its disk. Such a voter never votes or acknowledges
 * anything again, so the others are an odd number, of which half of all voters is a majority.
 *
 * <p>As long as the newest member list is not known to be committed, another leader may go by the
 * list before it. If that list may be halved, its quorum is required too, and the newest list is
 * only halved together with a majority of the list before it.
 *
 * @param before the list before the newest one, or {@link Members#NONE} if the newest one is known
 *     to be committed
 * @param lostDisks the ids of members that had lost their disks before the election began
 */
record Quorum(Members newest, Members before, Set<String> lostDisks, GroupPolicy policy) {

  /** Returns the quorum according to a log that is known to be committed up to an index. */
  static Quorum of(Log log, long commitIndex, Set<String> lostDisks, GroupPolicy policy) {
    boolean committed = commitIndex >= log.membersIndex() || !log.changesVoters();
    Members before = committed ? Members.NONE : log.membersAt(log.membersIndex() - 1);
    return new Quorum(log.members(), before, lostDisks, policy);
  }

  /** Returns whether the voters that satisfy a condition are a quorum. */
  boolean isReachedBy(Predicate<Member> condition) {
    return reachedValue(m -> condition.test(m) ? 1 : 0) == 1;
  }

  /** Returns the highest value that a quorum has reached; 0 without voters. */
  long reachedValue(ToLongFunction<Member> value) {
    if (before.voters().findAny().isEmpty()) {
      return halvedValue(newest, value);
    }
    long halved = Math.min(halvedValue(newest, value), majorityValue(before, value));
    long reached = Math.max(majorityValue(newest, value), halved);
    return mayBeHalved(before, policy) ? Math.min(reached, halvedValue(before, value)) : reached;
  }

  /** Returns whether half of the voters of a list suffices once one of them has lost its disk. */
  static boolean mayBeHalved(Members list, GroupPolicy policy) {
    long voters = list.voters().count();
    return policy.bearsLostDisks() && voters % 2 == 0 && voters > policy.minVoters();
  }

  private long halvedValue(Members list, ToLongFunction<Member> value) {
    boolean halved =
        mayBeHalved(list, policy) && list.voters().anyMatch(v -> lostDisks.contains(v.id()));
    return halved ? value(list, value, list.voters().count() / 2) : majorityValue(list, value);
  }

  private static long majorityValue(Members list, ToLongFunction<Member> value) {
    return value(list, value, list.voters().count() / 2 + 1);
  }

  /** Returns the highest value that a number of voters has reached; 0 without voters. */
  private static long value(Members list, ToLongFunction<Member> value, long count) {
    long[] values = list.voters().mapToLong(value).sorted().toArray();
    return values.length == 0 ? 0 : values[values.length - (int) count];
  }
}
