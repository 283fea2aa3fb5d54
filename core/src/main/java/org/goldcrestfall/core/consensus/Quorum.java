package org.goldcrestfall.core.consensus;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides how many voters elect a leader, commit an entry or confirm a read: a majority. Of an even
 * number of voters, half suffices if one of them is known to have lost its disk. Such a voter never
 * votes or acknowledges anything again, so the others are an odd number, of which half of all
 * voters is a majority.
 *
 * <p>As long as the newest member list is not known to be committed, another leader may go by the
 * list before it, so the quorum of both lists is required. A leader repeats a committed list, so
 * that members know after a restart that it is.
 *
 * @param lists the member lists of which each must have a quorum
 * @param lostDisks the ids of members that had lost their disks before the election began
 */
record Quorum(List<Members> lists, Set<String> lostDisks) {

  /** Returns the quorum according to a log that is known to be committed up to an index. */
  static Quorum of(Log log, long commitIndex, Set<String> lostDisks) {
    long index = log.membersIndex();
    Members previous = index > commitIndex ? log.membersAt(index - 1) : Members.NONE;
    return previous.voters().findAny().isEmpty()
        ? new Quorum(List.of(log.members()), lostDisks)
        : new Quorum(List.of(log.members(), previous), lostDisks);
  }

  /** Returns whether the voters that satisfy a condition are a quorum. */
  boolean isReachedBy(Predicate<Member> condition) {
    return lists.stream().allMatch(l -> l.voters().filter(condition).count() >= size(l));
  }

  /** Returns the highest value that a quorum has reached; 0 without voters. */
  long reachedValue(ToLongFunction<Member> value) {
    return lists.stream().mapToLong(l -> reachedValue(l, value)).min().orElse(0);
  }

  private long reachedValue(Members list, ToLongFunction<Member> value) {
    long[] values = list.voters().mapToLong(value).sorted().toArray();
    return values.length == 0 ? 0 : values[values.length - size(list)];
  }

  private int size(Members list) {
    int voters = (int) list.voters().count();
    boolean halfSuffices =
        voters % 2 == 0 && list.voters().anyMatch(v -> lostDisks.contains(v.id()));
    return halfSuffices ? voters / 2 : voters / 2 + 1;
  }
}
