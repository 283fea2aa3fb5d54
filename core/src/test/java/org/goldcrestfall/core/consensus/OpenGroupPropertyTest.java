package org.goldcrestfall.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
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

  /** Returns whether the disk of one more host may be lost. */
  private static boolean canLoseDisk(FakeGroup group, FakeHost host) {
    long lost = group.hosts.stream().filter(h -> h != host && !group.isRepaired(h)).count();
    return lost < LOST_DISKS;
  }

  @Property(tries = 40, seed = "7101", shrinking = ShrinkingMode.OFF)
  void openGroupUnderAllFaults(@ForAll long seed) {
    FakeGroup group = open(seed);
    Random random = group.random;
    for (int i = 0; i < FAULTS; i++) {
      fault(group, group.anyHost());
      group.runRoughly(random.nextInt(random.nextInt(4) == 0 ? 600 : 60));
    }
    awaitRecovery(group);
  }

  private static void awaitRecovery(FakeGroup group) {
    group.heal();
    group.hosts.forEach(h -> h.frozen = false);
    group.hosts.forEach(group::start);
    awaitGrowth(group);
    group.recover();
  }

  private static void fault(FakeGroup group, FakeHost host) {
    Random random = group.random;
    switch (random.nextInt(9)) {
      case 0 -> {
        if (host.isLive()) {
          host.kill(random.nextInt(3));
        }
      }
      case 1 -> {
        if (random.nextInt(4) == 0) {
          group.hosts.stream().filter(FakeHost::isLive).forEach(h -> h.kill(random.nextInt(3)));
        }
      }
      case 2 -> {
        if (canLoseDisk(group, host)) {
          group.loseDisk(host);
        }
      }
      case 3 -> {
        group.cutOff.clear();
        group.hosts.stream()
            .filter(h -> random.nextInt(3) == 0)
            .forEach(h -> group.cutOff.add(h.number));
      }
      case 4 -> {
        if (group.leader() != null) {
          group.cutLink(group.leader(), host);
        }
      }
      case 5 -> host.frozen = true;
      case 6 -> group.hosts.forEach(h -> h.frozen = false);
      case 7 -> group.compact(host);
      default -> group.heal();
    }
    if (random.nextInt(3) == 0) {
      group.hosts.forEach(group::start);
    }
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
