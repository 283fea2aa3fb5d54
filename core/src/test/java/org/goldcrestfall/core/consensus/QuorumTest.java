package org.goldcrestfall.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against quorums that need voters without a disk, and against quorums without overlap. */
class QuorumTest {

  private static Members voters(int count) {
    return Members.of(
        IntStream.range(0, count)
            .mapToObj(i -> new Member("h" + i + "#1", "h" + i, "address", true))
            .toList());
  }

  private static boolean reached(Members list, Set<String> lostDisks, int present) {
    List<String> ids = list.voters().skip(list.voters().count() - present).map(Member::id).toList();
    return new Quorum(List.of(list), lostDisks).isReachedBy(m -> ids.contains(m.id()));
  }

  @Property
  void halfOfAnEvenNumberSufficesOnlyIfDiskIsLost(@ForAll @IntRange(min = 1, max = 9) int count) {
    Members list = voters(count);
    int majority = count / 2 + 1;
    int expected = count % 2 == 0 ? count / 2 : majority;
    assertThat(reached(list, Set.of(), majority)).isTrue();
    assertThat(reached(list, Set.of(), majority - 1)).isFalse();
    assertThat(reached(list, Set.of("h0#1"), expected)).isTrue();
    assertThat(reached(list, Set.of("h0#1"), expected - 1)).isFalse();
    assertThat(reached(list, Set.of("other#1"), majority - 1)).isFalse();
  }

  /** Two lost disks must not reduce the number below half of the voters. */
  @Example
  void moreLostDisksDoNotReduceTheQuorumFurther() {
    assertThat(reached(voters(6), Set.of("h0#1", "h1#1"), 3)).isTrue();
    assertThat(reached(voters(6), Set.of("h0#1", "h1#1"), 2)).isFalse();
    assertThat(reached(voters(5), Set.of("h0#1", "h1#1"), 2)).isFalse();
  }

  @Example
  void uncommittedListNeedsTheQuorumOfTheListBeforeItToo() {
    Members before = voters(6);
    Members after = before.without("h5#1");
    Log log = new Log(Snapshot.initial(before), List.of(), Limits.DEFAULT);
    log.append(new Entry(1, 1, Entry.Type.MEMBERS, after.toBytes()));
    Set<String> three = Set.of("h0#1", "h1#1", "h2#1");
    assertThat(Quorum.of(log, 0, Set.of()).isReachedBy(m -> three.contains(m.id()))).isFalse();
    assertThat(Quorum.of(log, 1, Set.of()).isReachedBy(m -> three.contains(m.id()))).isTrue();
    assertThat(Quorum.of(log, 0, Set.of()).reachedValue(m -> three.contains(m.id()) ? 7 : 2))
        .isEqualTo(2);
  }
}
