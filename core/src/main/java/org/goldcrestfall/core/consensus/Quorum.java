package org.goldcrestfall.core.consensus;

import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides which voters elect a leader, commit an entry or confirm a read. {@link
 * GroupPolicy#quorumSize} tells how many of a list are needed. As long as the newest member list is
 * not known to be committed, another leader may go by the list before it, so the quorums of both
 * lists are needed, unless the newest list's one shares a voter with each of the other.
 *
 * @param before the list before the newest one, or {@link Members#NONE} if the newest one is known
 *     to be committed
 * @param lostDisks the ids of members that had lost their disks before the election began; they
 *     never vote or acknowledge anything again
 */
record Quorum(Members newest, Members before, Set<String> lostDisks, GroupPolicy policy) {

  /** Returns whether the voters that satisfy a condition are a quorum. */
  boolean isReachedBy(Predicate<Member> condition) {
    return reachedValue(m -> condition.test(m) ? 1 : 0) == 1;
  }

  /** Returns the highest value that a quorum has reached; 0 without voters. */
  long reachedValue(ToLongFunction<Member> value) {
    long reached = valueOf(newest, value, lostVoters(newest));
    if (before.voters().findAny().isEmpty()) {
      return reached;
    }
    long both = Math.min(reached, valueOf(before, value, lostVoters(before)));
    return overlaps() ? Math.max(both, valueOf(newest, value, 0)) : both;
  }

  /** Returns whether the newest list's quorum without lost disks overlaps all of the one before. */
  private boolean overlaps() {
    long all =
        newest.voters().count() + before.voters().filter(v -> !newest.isVoter(v.id())).count();
    int smallestBefore = size(before, (int) before.voters().count());
    return size(newest, 0) + smallestBefore > all;
  }

  private int lostVoters(Members list) {
    return (int) list.voters().filter(v -> lostDisks.contains(v.id())).count();
  }

  private int size(Members list, int lostVoters) {
    return policy.quorumSize((int) list.voters().count(), lostVoters, list.protocol());
  }

  /** Returns the highest value that the quorum of one list has reached; 0 without voters. */
  private long valueOf(Members list, ToLongFunction<Member> value, int lostVoters) {
    long[] values = list.voters().mapToLong(value).sorted().toArray();
    return values.length == 0 ? 0 : values[values.length - size(list, lostVoters)];
  }
}
