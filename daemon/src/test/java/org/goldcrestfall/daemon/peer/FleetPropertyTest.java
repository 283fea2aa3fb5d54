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

  record Step(Action action, int a, int b, int millis) {

    void apply(FakeFleet f) {
      int i = a % SIZE;
      switch (action) {
        case KILL -> f.kill(i);
        case RESTART -> {
          f.kill(i);
          f.start(i);
        }
        case FREEZE -> f.freeze(i, 2L * millis);
        case PARTITION -> f.partition(b);
        case HEAL -> f.heal();
        case SLOW_LINK -> f.network.setDelay(f.address(i), f.address(b % SIZE), millis);
        case ISOLATE_CONTROL -> f.isolated[a % FakeFleet.CONTROL_MEMBERS] = true;
        case COMMIT -> f.commit();
        case LEAVE -> f.upstreams.get(b % 2).leave(i);
        case VANISH -> f.upstreams.get(b % 2).vanish();
        default -> {}
      }
      // The faults of several steps overlap.
      f.run(millis / 3);
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
    FakeFleet f = new FakeFleet(SIZE, seed);
    f.upstreams.add(f.new Upstream("u0"));
    f.upstreams.add(f.new Upstream("u1"));
    return f;
  }

  // Guards P6 and P8 during faults, and against members or revisions that diverge after them.
  @Property(tries = 150, seed = "11")
  void membersAndRevisionsConvergeAfterFaultsHeal(
      @ForAll("steps") List<Step> steps, @ForAll long seed) {
    FakeFleet f = fleet(seed);
    f.network.latePerMille = 20;
    f.network.duplicatedPerMille = 20;
    f.network.misroutedReplyPerMille = 20;
    f.run(3000);
    steps.forEach(s -> s.apply(f));
    f.network.latePerMille = 0;
    f.network.duplicatedPerMille = 0;
    f.network.misroutedReplyPerMille = 0;
    f.heal();
    f.commit();
    f.run(SETTLE_MILLIS);
    f.expectAgreement();
  }

  // Guards against a failure detector that suspects a member because of one slow link.
  @Property(tries = 40, seed = "12")
  void oneSlowLinkRaisesNoSuspicion(
      @ForAll long seed, @ForAll("hosts") int a, @ForAll("hosts") int b) {
    FakeFleet f = new FakeFleet(SIZE, seed);
    f.run(15_000);
    for (PeerService s : f.services) {
      s.addListener(
          new PeerListener() {
            @Override
            public void memberChanged(Member m) {
              assertThat(m.status()).isEqualTo(Member.Status.ALIVE);
            }
          });
    }
    f.network.setDelay(f.address(a), f.address(b), 3000);
    f.run(40_000);
    f.expectAgreement();
  }

  @Provide
  Arbitrary<Integer> hosts() {
    return Arbitraries.integers().between(0, SIZE - 1);
  }

  // Guards against considering a live member dead that only one other member can reach.
  @Property(tries = 40, seed = "13")
  void memberWithOneLinkIsNotDeadForMoreThan10Seconds(
      @ForAll long seed, @ForAll("hosts") int member) {
    FakeFleet f = new FakeFleet(SIZE, seed);
    f.run(15_000);
    int neighbor = (member + 1) % SIZE;
    for (int i = 0; i < SIZE; i++) {
      if (i != neighbor && i != member) {
        f.network.setCut(f.address(i), f.address(member), true);
      }
    }
    long[] deadMillis = new long[SIZE];
    for (int t = 0; t < 600; t++) {
      f.run(100);
      for (int i = 0; i < SIZE; i++) {
        deadMillis[i] = f.liveHostsAt(i).contains("h" + member) ? 0 : deadMillis[i] + 100;
        assertThat(deadMillis[i]).as("dead at %s", i).isLessThanOrEqualTo(10_000);
      }
    }
  }

  // Guards against killed members that stay live, and against suspicions that never expire.
  @Property(tries = 40, seed = "14")
  void killedMemberIsDeclaredDead(@ForAll long seed, @ForAll("hosts") int killed) {
    FakeFleet f = new FakeFleet(SIZE, seed);
    f.network.latePerMille = 10;
    f.run(15_000);
    f.kill(killed);
    f.run(20_000);
    for (int i = 0; i < SIZE; i++) {
      if (f.up(i)) {
        assertThat(f.liveHostsAt(i)).doesNotContain("h" + killed);
      }
    }
  }

  // Guards the 11 s of P8 for every router that reaches a majority, with one stale control member.
  @Property(tries = 60, seed = "15")
  void everyReachableRouterHasTheRevisionWithin11Seconds(
      @ForAll("steps") List<Step> steps, @ForAll long seed) {
    FakeFleet f = fleet(seed);
    f.run(3000);
    steps.forEach(s -> s.apply(f));
    f.heal();
    f.isolated[(int) Math.floorMod(seed, 3)] = true;
    for (int i = 0; i < FakeFleet.CONTROL_MEMBERS; i++) {
      f.start(i);
    }
    f.run(1000);
    long accepted = f.commit();
    f.run(11_000);
    for (int i = 0; i < SIZE; i++) {
      if (f.up(i)) {
        assertThat(f.services[i].configView().revision()).isGreaterThanOrEqualTo(accepted);
        assertThat(f.services[i].configConfirmed()).isTrue();
        assertThat(f.services[i].configCheckAgeMillis()).isLessThan(11_000);
      }
    }
  }

  // Guards against counting a reply of only a stale control member as a check of the revision.
  @Property(tries = 60, seed = "16")
  void checkedRevisionIsNotOlderThanItsCheck(@ForAll("steps") List<Step> steps, @ForAll long seed) {
    FakeFleet f = fleet(seed);
    f.network.latePerMille = 20;
    f.network.misroutedReplyPerMille = 20;
    f.run(3000);
    for (Step s : steps) {
      s.apply(f);
      for (int t = 0; t < 20; t++) {
        commitAndVerifyChecks(f);
      }
    }
  }

  private static void commitAndVerifyChecks(FakeFleet f) {
    long before = f.network.clock.nowMillis();
    long accepted = f.commit();
    f.run(200);
    for (int i = 0; i < SIZE; i++) {
      PeerService service = f.services[i];
      long checkedAt = f.network.clock.nowMillis() - service.configCheckAgeMillis();
      if (f.up(i) && service.configConfirmed() && checkedAt > before) {
        assertThat(service.configView().revision()).isGreaterThanOrEqualTo(accepted);
      }
    }
  }

  // Guards against taking a reply of a stale control member for the reply of another member.
  @Property(tries = 40, seed = "17")
  void misroutedReplyOfStaleControlMemberDoesNotCountAsCheck(@ForAll long seed) {
    FakeFleet f = fleet(seed);
    f.run(5000);
    f.isolated[0] = true;
    for (int i = 1; i < SIZE; i++) {
      f.network.setCut(f.address(0), f.address(i), i != SIZE - 1);
      f.network.setDelay(f.address(SIZE - 1), f.address(i), 300);
    }
    f.network.setDelay(f.address(SIZE - 1), f.address(0), 300);
    f.network.misroutedReplyPerMille = 400;
    for (int t = 0; t < 100; t++) {
      commitAndVerifyChecks(f);
    }
  }
}
