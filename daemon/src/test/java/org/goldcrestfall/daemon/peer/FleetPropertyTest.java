package org.goldcrestfall.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.goldcrestfall.core.membership.Member;

/** Properties of the peer service under generated faults on a manual clock. */
class FleetPropertyTest {

  private static final int SIZE = 7;
  private static final long SETTLE_MILLIS = 45_000;

  enum Action {
    KILL,
    RESTART,
    FREEZE,
    PARTITION,
    HEAL,
    SLOW_LINK,
    ISOLATE_CONTROL,
    COMMIT,
    LEAVE,
    VANISH,
    RUN
  }

  record Step(Action action, int host, int argument, int millis) {

    void apply(FakeFleet fleet) {
      int i = host % SIZE;
      switch (action) {
        case KILL -> fleet.kill(i);
        case RESTART -> {
          fleet.kill(i);
          fleet.start(i);
        }
        case FREEZE -> fleet.freeze(i, 2L * millis);
        case PARTITION -> fleet.partition(argument);
        case HEAL -> fleet.heal();
        case SLOW_LINK ->
            fleet.network.setDelay(fleet.address(i), fleet.address(argument % SIZE), millis);
        case ISOLATE_CONTROL -> fleet.isolated[host % FakeFleet.CONTROL_MEMBERS] = true;
        case COMMIT -> fleet.commit();
        case LEAVE -> fleet.upstreams.get(argument % 2).leave(i);
        case VANISH -> fleet.upstreams.get(argument % 2).vanish();
        default -> {}
      }
      // The faults of several steps overlap.
      fleet.run(millis / 3);
    }
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Action.class),
            Arbitraries.integers().between(0, 126),
            Arbitraries.integers().between(1, 126),
            Arbitraries.integers().between(100, 9000))
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(20);
  }

  private static FakeFleet fleet(long seed) {
    FakeFleet fleet = new FakeFleet(SIZE, seed);
    fleet.upstreams.add(fleet.new Upstream("u0"));
    fleet.upstreams.add(fleet.new Upstream("u1"));
    return fleet;
  }

  // Guards against routing to departed upstreams (property P6) and decreasing revisions (property
  // P8) during faults, and against members or revisions that still differ after the faults.
  @Property(tries = 150, seed = "11")
  void membersAndRevisionsConvergeAfterFaultsHeal(
      @ForAll("steps") List<Step> steps, @ForAll long seed) {
    FakeFleet fleet = fleet(seed);
    fleet.network.latePerMille = 20;
    fleet.network.duplicatedPerMille = 20;
    fleet.network.misroutedReplyPerMille = 20;
    fleet.run(3000);
    steps.forEach(s -> s.apply(fleet));
    fleet.network.latePerMille = 0;
    fleet.network.duplicatedPerMille = 0;
    fleet.network.misroutedReplyPerMille = 0;
    fleet.heal();
    fleet.commit();
    fleet.run(SETTLE_MILLIS);
    fleet.expectAgreement();
  }

  // Guards against a failure detector that suspects a member because of one slow link.
  @Property(tries = 40, seed = "12")
  void oneSlowLinkRaisesNoSuspicion(
      @ForAll long seed, @ForAll("hosts") int a, @ForAll("hosts") int b) {
    FakeFleet fleet = new FakeFleet(SIZE, seed);
    fleet.run(15_000);
    for (PeerService s : fleet.services) {
      s.addListener(
          new PeerListener() {
            @Override
            public void memberChanged(Member m) {
              assertThat(m.status()).isEqualTo(Member.Status.ALIVE);
            }
          });
    }
    fleet.network.setDelay(fleet.address(a), fleet.address(b), 3000);
    fleet.run(40_000);
    fleet.expectAgreement();
  }

  @Provide
  Arbitrary<Integer> hosts() {
    return Arbitraries.integers().between(0, SIZE - 1);
  }

  // Guards against considering a member dead that is alive but reached by only one other member.
  @Property(tries = 40, seed = "13")
  void memberWithOneLinkIsNotDeadForMoreThan10Seconds(
      @ForAll long seed, @ForAll("hosts") int member) {
    FakeFleet fleet = new FakeFleet(SIZE, seed);
    fleet.run(15_000);
    int neighbor = (member + 1) % SIZE;
    for (int i = 0; i < SIZE; i++) {
      if (i != neighbor && i != member) {
        fleet.network.setCut(fleet.address(i), fleet.address(member), true);
      }
    }
    long[] deadMillis = new long[SIZE];
    for (int t = 0; t < 600; t++) {
      fleet.run(100);
      for (int i = 0; i < SIZE; i++) {
        deadMillis[i] = fleet.liveHostsAt(i).contains("h" + member) ? 0 : deadMillis[i] + 100;
        assertThat(deadMillis[i]).as("dead at %s", i).isLessThanOrEqualTo(10_000);
      }
    }
  }

  // Guards against killed members that stay live, and against suspicions that never expire.
  @Property(tries = 40, seed = "14")
  void killedMemberIsDeclaredDead(@ForAll long seed, @ForAll("hosts") int killed) {
    FakeFleet fleet = new FakeFleet(SIZE, seed);
    fleet.network.latePerMille = 10;
    fleet.run(15_000);
    fleet.kill(killed);
    fleet.run(20_000);
    for (int i = 0; i < SIZE; i++) {
      if (fleet.up(i)) {
        assertThat(fleet.liveHostsAt(i)).doesNotContain("h" + killed);
      }
    }
  }

  // Guards against a router that reaches a majority of the control members but does not get an
  // accepted revision within the 11 s of property P8. One control member is stale.
  @Property(tries = 60, seed = "15")
  void everyReachableRouterHasTheRevisionWithin11Seconds(
      @ForAll("steps") List<Step> steps, @ForAll long seed) {
    FakeFleet fleet = fleet(seed);
    fleet.run(3000);
    steps.forEach(s -> s.apply(fleet));
    fleet.heal();
    fleet.isolated[(int) Math.floorMod(seed, 3)] = true;
    for (int i = 0; i < FakeFleet.CONTROL_MEMBERS; i++) {
      fleet.start(i);
    }
    fleet.run(1000);
    long accepted = fleet.commit();
    fleet.run(11_000);
    for (int i = 0; i < SIZE; i++) {
      if (fleet.up(i)) {
        assertThat(fleet.services[i].configView().revision()).isGreaterThanOrEqualTo(accepted);
        assertThat(fleet.services[i].configConfirmed()).isTrue();
        assertThat(fleet.services[i].configConfirmationAgeMillis()).isLessThan(11_000);
      }
    }
  }

  // Guards against counting the reply of only a stale control member as a confirmation.
  @Property(tries = 60, seed = "16")
  void confirmedRevisionIncludesChangesAcceptedBefore(
      @ForAll("steps") List<Step> steps, @ForAll long seed) {
    FakeFleet fleet = fleet(seed);
    fleet.network.latePerMille = 20;
    fleet.network.misroutedReplyPerMille = 20;
    fleet.run(3000);
    for (Step s : steps) {
      s.apply(fleet);
      for (int t = 0; t < 20; t++) {
        commitAndVerifyConfirmations(fleet);
      }
    }
  }

  private static void commitAndVerifyConfirmations(FakeFleet fleet) {
    long beforeCommitMillis = fleet.network.clock.nowMillis();
    long accepted = fleet.commit();
    fleet.run(200);
    for (int i = 0; i < SIZE; i++) {
      PeerService service = fleet.services[i];
      long confirmedAtMillis =
          fleet.network.clock.nowMillis() - service.configConfirmationAgeMillis();
      if (fleet.up(i) && service.configConfirmed() && confirmedAtMillis > beforeCommitMillis) {
        assertThat(service.configView().revision()).isGreaterThanOrEqualTo(accepted);
      }
    }
  }

  // Guards against taking a reply of a stale control member for the reply of another member.
  @Property(tries = 40, seed = "17")
  void misroutedReplyOfStaleControlMemberIsNoConfirmation(@ForAll long seed) {
    FakeFleet fleet = fleet(seed);
    fleet.run(5000);
    fleet.isolated[0] = true;
    for (int i = 1; i < SIZE; i++) {
      fleet.network.setCut(fleet.address(0), fleet.address(i), i != SIZE - 1);
      fleet.network.setDelay(fleet.address(SIZE - 1), fleet.address(i), 300);
    }
    fleet.network.setDelay(fleet.address(SIZE - 1), fleet.address(0), 300);
    fleet.network.misroutedReplyPerMille = 400;
    for (int t = 0; t < 100; t++) {
      commitAndVerifyConfirmations(fleet);
    }
  }
}
