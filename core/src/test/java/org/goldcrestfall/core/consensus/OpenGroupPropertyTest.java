package org.goldcrestfall.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Groups that three hosts form and two others join, where two disks may be lost at once. Guards
 * against acknowledgements that such a loss takes back, and against groups that do not recover.
 */
class OpenGroupPropertyTest {

  private static final int HOSTS = 5;
  private static final int FOUNDERS = 3;
  private static final int LOST_DISKS = 2;
  private static final int FAULTS = 80;

  private static FakeGroup open(long seed) {
    return new FakeGroup(HOSTS, FOUNDERS, GroupPolicy.selfForming(LOST_DISKS), seed);
  }

  private static void awaitGrowth(FakeGroup group) {
    for (int i = 0; i < 400 && !group.hosts.stream().allMatch(group::isRepaired); i++) {
      group.run(50);
    }
    assertThat(group.hosts).as("hosts with a vote").allMatch(group::isRepaired);
  }

  @Property(tries = 40, seed = "7101", shrinking = ShrinkingMode.OFF)
  void openGroupUnderAllFaults(@ForAll long seed) {
    FakeGroup group = open(seed);
    group.runWithFaults(FAULTS);
    awaitRecovery(group);
  }

  private static void awaitRecovery(FakeGroup group) {
    group.endFaults();
    awaitGrowth(group);
    group.recover();
  }

  /** The users' platform takes two disks within milliseconds of an acknowledgement. */
  @Property(tries = 60, seed = "7201", shrinking = ShrinkingMode.OFF)
  void twoDisksLostRightAfterAnAcknowledgement(@ForAll long seed) {
    FakeGroup group = open(seed);
    for (int i = 0; i < 4; i++) {
      awaitGrowth(group);
      int replies = group.seen.replies;
      for (int j = 0; j < 2_000 && group.seen.replies == replies; j++) {
        group.runRoughly(5);
      }
      assertThat(group.seen.replies).as("acknowledgements").isGreaterThan(replies);
      List<FakeHost> lost = new ArrayList<>(group.hosts);
      Collections.shuffle(lost, group.random);
      lost.subList(0, LOST_DISKS).forEach(group::loseDisk);
      if (group.random.nextBoolean()) {
        lost.subList(LOST_DISKS, HOSTS).forEach(h -> h.kill(0));
        group.flights.clear();
        group.hosts.forEach(group::start);
      }
    }
    awaitRecovery(group);
  }

  /** A machine of the core that is gone for good is replaced by an empty one. */
  @Property(tries = 20, seed = "7301", shrinking = ShrinkingMode.OFF)
  void hostsThatAreAwayForLongComeBackWithTheirVotes(@ForAll long seed) {
    FakeGroup group = open(seed);
    for (int i = 0; i < 3; i++) {
      awaitGrowth(group);
      FakeHost away = group.anyHost();
      away.kill(0);
      FakeHost lost = group.hosts.get((away.number + 1) % HOSTS);
      group.loseDisk(lost);
      group.run(5_000);
      group.hosts.forEach(group::propose);
      group.run(200);
      group.start(away);
    }
    awaitRecovery(group);
  }
}
