package org.goldcrestfall.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Members under generated faults. {@link Observations} checks election safety, log matching, and
 * that replies and reads are linearizable; the end of each run checks that nothing acknowledged is
 * lost.
 */
class ConsensusPropertyTest {

  private static final int STEPS = 1_200;

  @Property(tries = 120, seed = "3101", shrinking = ShrinkingMode.OFF)
  void threeMembersUnderAllFaults(@ForAll long seed) {
    runWithFaults(new FakeGroup(3, seed));
  }

  @Property(tries = 60, seed = "5101", shrinking = ShrinkingMode.OFF)
  void fiveMembersUnderAllFaults(@ForAll long seed) {
    runWithFaults(new FakeGroup(5, seed));
  }

  private static void runWithFaults(FakeGroup group) {
    for (int i = 0; i < STEPS; i++) {
      step(group);
    }
    group.recover();
  }

  private static void step(FakeGroup group) {
    Random random = group.random;
    FakeHost host = group.anyHost();
    int kind = random.nextInt(1_000);
    if (kind < 400) {
      deliverSome(group);
    } else if (kind < 600) {
      group.advance(1 + random.nextInt(25));
    } else if (kind < 750) {
      group.sync(host);
    } else if (kind < 830) {
      group.propose(random.nextBoolean() && group.leader() != null ? group.leader() : host);
    } else if (kind < 890) {
      group.read(host);
    } else if (kind < 905) {
      group.compact(host);
    } else {
      fault(group, host, kind);
    }
  }

  private static void deliverSome(FakeGroup group) {
    Random random = group.random;
    int window = random.nextInt(10) == 0 ? Integer.MAX_VALUE : 6;
    for (int i = random.nextInt(10); i >= 0 && !group.flights.isEmpty(); i--) {
      int at = random.nextInt(Math.min(window, group.flights.size()));
      group.deliver(random.nextInt(30) == 0 ? group.flights.get(at) : group.flights.remove(at));
    }
  }

  private static void fault(FakeGroup group, FakeHost host, int kind) {
    Random random = group.random;
    if (kind < 925) {
      if (!group.flights.isEmpty()) {
        group.flights.remove(random.nextInt(group.flights.size()));
      }
    } else if (kind < 933) {
      if (host.isLive()) {
        host.kill(random.nextInt(3));
      }
    } else if (kind < 953) {
      group.hosts.forEach(group::start);
    } else if (kind < 958) {
      if (group.canLoseDisk(host)) {
        group.loseDisk(host);
      }
    } else if (kind < 966) {
      group.cutOff.clear();
      IntStream.range(0, group.hosts.size())
          .filter(i -> random.nextInt(3) == 0)
          .forEach(group.cutOff::add);
    } else if (kind < 980) {
      group.cutOff.clear();
    } else if (kind < 986) {
      host.frozen = true;
    } else {
      group.hosts.forEach(h -> h.frozen = false);
    }
  }

  /** Guards against a learner that gets its vote before it holds all that was acknowledged. */
  @Property(tries = 60, seed = "3201", shrinking = ShrinkingMode.OFF)
  void disksLostOneRightAfterTheRepairOfAnother(@ForAll long seed) {
    FakeGroup group = new FakeGroup(3, seed);
    group.run(1_000);
    for (int i = 0; i < 12; i++) {
      for (int j = group.random.nextInt(20); j >= 0; j--) {
        group.hosts.forEach(group::propose);
        group.run(5);
      }
      if (group.random.nextInt(3) == 0) {
        group.compact(group.anyHost());
      }
      FakeHost lost = group.anyHost();
      for (int j = 0; j < 500 && !group.canLoseDisk(lost); j++) {
        group.hosts.forEach(group::propose);
        group.run(5);
      }
      assertThat(group.canLoseDisk(lost)).as("the host before was repaired").isTrue();
      group.loseDisk(lost);
    }
    group.recover();
  }

  /** Guards against a leader that serves reads after another one may have been elected. */
  @Property(tries = 80, seed = "3301", shrinking = ShrinkingMode.OFF)
  void isolatedLeaderServesNoStaleReadAndStepsDown(@ForAll long seed) {
    FakeGroup group = new FakeGroup(3, seed);
    group.run(1_000);
    for (int i = 0; i < 8; i++) {
      FakeHost old = group.leader();
      group.cutOff.add(old.number);
      old.frozen = group.random.nextBoolean();
      long silence = group.random.nextInt(700);
      for (long t = 0; t < silence; t += 5) {
        group.run(5);
        group.hosts.stream().filter(h -> h != old).forEach(group::propose);
        group.read(old);
      }
      old.frozen = false;
      group.read(old);
      group.run(FakeGroup.TIMING.electionMaxMillis() + 5);
      assertThat(old.consensus.role()).isNotEqualTo(Role.LEADER);
      group.cutOff.clear();
      group.recover();
    }
  }
}
