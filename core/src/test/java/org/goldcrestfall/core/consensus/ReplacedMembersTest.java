package org.goldcrestfall.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Tests open groups of five that tolerate two lost disks and in which hosts are replaced by others
 * for good. Guards against dead voters that stay members, so that the group has no quorum after it
 * has lost two disks.
 */
class ReplacedMembersTest {

  private static final int FOUNDERS = 5;
  private static final int LOST_DISKS = 2;

  /** Time after the end of a replaced host from which on two other disks may be lost. */
  private static final long CATCH_UP_MILLIS = 4_000;

  private static FakeGroup groupWithSuccessors(int successors, long seed) {
    FakeGroup group =
        new FakeGroup(FOUNDERS + successors, FOUNDERS, GroupPolicy.openGroup(LOST_DISKS), seed);
    for (int i = 0; i < 200 && !group.hosts.stream().allMatch(group::isRepaired); i++) {
      group.run(50);
    }
    assertThat(group.hosts).as("hosts with a vote").allMatch(group::isRepaired);
    return group;
  }

  /** Loses the disks of the leader and of one other live host, and checks that the group works. */
  private static void loseTwoDisksAndRecover(FakeGroup group) {
    List<FakeHost> lost = new ArrayList<>(group.hosts.stream().filter(FakeHost::isLive).toList());
    Collections.shuffle(lost, group.random);
    lost.remove(group.leader());
    lost.add(0, group.leader());
    lost.subList(0, LOST_DISKS).forEach(group::loseDisk);
    int replies = group.history.replyCount;
    for (int i = 0; i < 100 && group.history.replyCount == replies; i++) {
      group.run(50);
      group.hosts.forEach(group::propose);
    }
    assertThat(group.history.replyCount).as("replies after the loss").isGreaterThan(replies);
  }

  @Property(tries = 20, seed = "7401", shrinking = ShrinkingMode.OFF)
  void twoDisksMayBeLostSoonAfterTheLeaderWasReplaced(@ForAll long seed) {
    FakeGroup group = groupWithSuccessors(1, seed);
    group.leader().kill(0);
    group.run(CATCH_UP_MILLIS);
    loseTwoDisksAndRecover(group);
  }

  @Property(tries = 20, seed = "7402", shrinking = ShrinkingMode.OFF)
  void twoDisksMayBeLostAfterTwoHostsWereReplacedAtOnce(@ForAll long seed) {
    FakeGroup group = groupWithSuccessors(2, seed);
    List<FakeHost> replaced = new ArrayList<>(group.hosts.subList(0, FOUNDERS));
    Collections.shuffle(replaced, group.random);
    replaced.get(0).kill(0);
    group.run(500);
    replaced.get(1).kill(0);
    group.run(CATCH_UP_MILLIS);
    loseTwoDisksAndRecover(group);
  }

  /** Two lost hosts that nobody replaces keep their votes: five voters tolerate two lost disks. */
  @Property(tries = 10, seed = "7403", shrinking = ShrinkingMode.OFF)
  void groupDoesNotShrinkBelowTheSizeThatToleratesTheLosses(@ForAll long seed) {
    FakeGroup group = groupWithSuccessors(0, seed);
    group.hosts.get(0).kill(0);
    group.hosts.get(1).kill(0);
    group.run(2 * CATCH_UP_MILLIS);
    assertThat(group.leader().consensus.members().voters()).hasSize(FOUNDERS);
  }
}
