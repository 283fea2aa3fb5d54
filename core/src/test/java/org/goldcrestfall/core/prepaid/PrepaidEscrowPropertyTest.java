package org.goldcrestfall.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.goldcrestfall.core.common.TokenCount;
import org.goldcrestfall.core.dispatch.RequestSize;

/** Checks that no more tokens are consumed than were paid in (property P1) despite failures. */
final class PrepaidEscrowPropertyTest {

  private static final String WORKSPACE = "w";
  private static final GrantRule RULE = GrantRule.WHOLE_REQUESTS;
  private static final LeaderTime NO_TIME = LeaderTime.NONE;

  private static final long OPEN_RESERVE_AFTER_MILLIS = ReserveSchedule.DELAY_MILLIS;

  /** A router incarnation; its times are milliseconds of the monotonic clock of its host. */
  private static final class Router {
    final String host;
    final String name;
    final long startedAtMillis;
    final PrepaidAccount account = new PrepaidAccount();
    final List<Long> reserved = new ArrayList<>();
    final ReserveSchedule schedule;
    long lastRenewalNumber;
    LeaderTime leaderTime = LeaderTime.NONE;
    long leaderTimeReceivedAtMillis;
    long borrowed;
    long lent;
    boolean killed;

    Router(String host, int run, long now) {
      this.host = host;
      name = host + "#" + run;
      startedAtMillis = now;
      schedule = new ReserveSchedule(now);
    }

    /** Returns the granted tokens that this incarnation has used or may still use. */
    long heldOrUsed() {
      long reserve = killed ? 0 : Math.max(0, account.unopened());
      long open = account.spent() + account.reserved() + account.free();
      return open + reserve + lent - borrowed;
    }

    IncarnationTimes times(long now, long offset) {
      return new IncarnationTimes(
          host,
          startedAtMillis,
          now,
          schedule.opensAtMillis(),
          schedule.openingMillis(),
          offset,
          leaderTime.plus(now - leaderTimeReceivedAtMillis));
    }
  }

  /**
   * The monotonic clock of a host, which continues when a process is killed and has another value
   * after a power loss.
   */
  private static final class HostClock {
    /** Value of the clock at the simulated time 0. */
    long initialMillis;

    long now(long time) {
      return time + initialMillis;
    }
  }

  /** The clocks of the leader; its monotonic clock stands still while its host is suspended. */
  private static final class LeaderClocks {
    long process = 1;
    long initialMillis;
    long suspendedMillis;

    LeaderTime now(long time) {
      return new LeaderTime(process, time + initialMillis - suspendedMillis, suspendedMillis);
    }
  }

  /**
   * Runs random sequences of renewals whose answers are lost, duplicated or delayed, loans whose
   * answers are lost, partitioned routers that open their reserve, routers that restart after a
   * kill or a power loss, and snapshots of the ledger. All tokens that a killed router may have
   * consumed count as consumed.
   */
  @Property(tries = 600, seed = "11")
  void consumptionNeverExceedsTheTotal(@ForAll long seed) {
    Random random = new Random(seed);
    final long total = 10_000;
    PrepaidLedger ledger = new PrepaidLedger();
    ledger.setTotals(Map.of(WORKSPACE, total));
    Map<String, HostClock> clocks = new HashMap<>();
    List<Router> routers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      clocks.put("h" + i, new HostClock());
      routers.add(new Router("h" + i, 0, 0));
    }
    List<Router> killed = new ArrayList<>();
    long spentByKilled = 0;
    long time = 0;
    LeaderClocks leader = new LeaderClocks();
    long[] timeOfDelivery = new long[1];
    List<Runnable> delayedAnswers = new ArrayList<>();
    for (int step = 1; step <= 300; step++) {
      time += random.nextInt(400);
      final Router r = routers.get(random.nextInt(routers.size()));
      final HostClock clock = clocks.get(r.host);
      final long now = clock.now(time);
      timeOfDelivery[0] = time;
      for (Router each : routers) {
        each.account.openReserve(each.schedule.advance(clocks.get(each.host).now(time)));
      }
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          if (random.nextInt(3) == 0) {
            r.account.returnTokens(random.nextInt(500));
          } else if (random.nextInt(4) == 0) {
            r.account.returnOpenTokens(random.nextInt(500));
          }
          var demand =
              r.account.demandFor(
                  WORKSPACE, random.nextInt(2_000), random.nextInt(2_000), random.nextInt(1_000));
          IncarnationTimes times = r.times(now, time - now);
          // A renewal without news of the workspace has no demand for it.
          boolean heartbeat = !r.account.hasUnreportedOpenings() && random.nextInt(3) == 0;
          List<Demand> demands = heartbeat ? List.of() : List.of(demand);
          LeaderTime proposedAt = leader.now(time);
          var answers =
              ledger.renew(r.name, ++r.lastRenewalNumber, times, demands, proposedAt, RULE);
          // After a lost answer, the command is sent again and can be in the log twice.
          if (random.nextInt(4) == 0) {
            answers = ledger.renew(r.name, r.lastRenewalNumber, times, demands, proposedAt, RULE);
          }
          var delivered = answers;
          Runnable deliver =
              () -> {
                r.schedule.recordRenewal(now);
                r.leaderTime = proposedAt;
                r.leaderTimeReceivedAtMillis = clock.now(timeOfDelivery[0]);
                delivered.forEach(a -> r.account.applyAllotment(a, 0));
              };
          if (random.nextInt(4) != 0) {
            deliver.run();
          }
          delayedAnswers.add(deliver);
        }
        case 2 -> {
          if (!delayedAnswers.isEmpty()) {
            delayedAnswers.get(random.nextInt(delayedAnswers.size())).run();
          }
        }
        case 3 -> {
          Router lender = routers.get(random.nextInt(routers.size()));
          long lent = lender.account.lend(random.nextInt(1_000));
          lender.lent += lent;
          if (random.nextInt(3) != 0) {
            r.account.addBorrowed(lent);
            r.borrowed += lent;
          }
        }
        case 4, 5 -> {
          long tokens = 1 + random.nextInt(600);
          if (r.account.reserve(TokenCount.of(tokens))) {
            r.reserved.add(tokens);
          }
        }
        case 6 -> {
          if (!r.reserved.isEmpty()) {
            long tokens = r.reserved.remove(0);
            r.account.settle(
                TokenCount.of(tokens), TokenCount.of(random.nextInt((int) tokens * 2)));
          }
        }
        default -> {
          if (random.nextInt(6) == 0) {
            r.killed = true;
            killed.add(r);
            spentByKilled += r.account.spent() + r.account.reserved() + r.account.free();
            if (random.nextBoolean()) {
              clock.initialMillis = random.nextInt(2_000_000);
            }
            time += random.nextInt(3_000);
            Router next = new Router(r.host, step, clock.now(time));
            routers.set(routers.indexOf(r), next);
            delayedAnswers.clear();
          } else if (random.nextInt(8) == 0) {
            leader.process++;
            leader.initialMillis = random.nextInt(2_000_000);
          } else if (random.nextInt(8) == 0) {
            long suspendedMillis = 500 + random.nextInt(10_000);
            time += suspendedMillis;
            leader.suspendedMillis += suspendedMillis;
          } else if (random.nextInt(5) == 0) {
            var stored = ledger.routers();
            ledger = new PrepaidLedger();
            ledger.setTotals(Map.of(WORKSPACE, total));
            ledger.restore(stored);
          }
        }
      }
      long consumed = spentByKilled;
      for (Router each : routers) {
        consumed += each.account.spent() + each.account.reserved() + each.account.free();
      }
      assertThat(consumed).isLessThanOrEqualTo(total);
      assertGrantsCoverUse(ledger, routers);
      assertGrantsCoverUse(ledger, killed);
    }
  }

  /**
   * Checks that the ledger counts at least what each incarnation has used or may use as granted. In
   * the sum over all routers, a token that is given out twice can be hidden by lost ones.
   */
  private static void assertGrantsCoverUse(PrepaidLedger ledger, List<Router> routers) {
    Map<String, Long> outstanding = new HashMap<>();
    for (PrepaidLedger.IncarnationTotals t : ledger.routers()) {
      t.sums()
          .forEach(
              s -> outstanding.merge(t.router(), s.grantedTotal() - s.returnedTotal(), Long::sum));
    }
    for (Router r : routers) {
      assertThat(r.heldOrUsed())
          .as("tokens that %s has used or may use", r.name)
          .isLessThanOrEqualTo(outstanding.getOrDefault(r.name, 0L));
    }
  }

  /**
   * Guards against a workspace that gets more than its total because a router states odd sums: more
   * returned than all routers hold, negative numbers, or numbers that overflow when they are added.
   */
  @Property(tries = 1_000, seed = "12")
  void oddDemandsDoNotLiftTheTotal(@ForAll long seed) {
    Random random = new Random(seed);
    final long total = 10_000;
    PrepaidLedger ledger = new PrepaidLedger();
    ledger.setTotals(Map.of(WORKSPACE, total));
    for (int i = 1; i <= 30; i++) {
      String router = "r" + random.nextInt(3);
      Demand odd =
          new Demand(
              WORKSPACE,
              odd(random),
              odd(random),
              odd(random),
              odd(random),
              odd(random),
              odd(random),
              odd(random),
              Optional.empty());
      boolean honest = random.nextBoolean();
      renew(ledger, router, i, honest ? demand(2_000, 500, 2_000) : odd);
      PrepaidLedger.Distribution d = ledger.distribution(WORKSPACE);
      assertThat(d.available()).isBetween(0L, total);
      if (random.nextInt(5) == 0) {
        var stored = ledger.routers();
        ledger = new PrepaidLedger();
        ledger.setTotals(Map.of(WORKSPACE, total));
        ledger.restore(stored);
        assertThat(ledger.available(WORKSPACE)).isEqualTo(d.available());
      }
    }
  }

  private static long odd(Random random) {
    long[] values = {0, 1, -1, 5_000, Long.MAX_VALUE, Long.MIN_VALUE, 1L << 62, -(1L << 62)};
    return values[random.nextInt(values.length)];
  }

  /** Guards against a size whose overflow was added to the tokens that requests may use. */
  @Example
  void requestWithoutMaximumOfOutputReservesNothing() {
    PrepaidAccount account = new PrepaidAccount();
    account.addBorrowed(TokenCount.MAX_BALANCE);
    RequestSize size =
        new RequestSize(TokenCount.of(200_000), TokenCount.of(Long.MAX_VALUE), ImmutableList.of());
    assertThat(account.reserve(size.maxTokens())).isFalse();
    account.addBorrowed(-5);
    assertThat(account.free()).isEqualTo(TokenCount.MAX_BALANCE);
  }

  private static IncarnationTimes times(
      String host, long startedAtMillis, long sentAtMillis, long reserveOpensAtMillis) {
    return new IncarnationTimes(
        host,
        startedAtMillis,
        sentAtMillis,
        reserveOpensAtMillis,
        ReserveSchedule.OPENING_MILLIS,
        0,
        NO_TIME);
  }

  private static Demand demand(long wanted, long needed, long toOpen) {
    return new Demand(WORKSPACE, 0, 0, 0, wanted, needed, toOpen, 0, Optional.empty());
  }

  private static PrepaidLedger.Allotment renew(
      PrepaidLedger ledger, String router, long number, Demand demand) {
    return ledger
        .renew(
            router,
            number,
            times(router, 0, 0, OPEN_RESERVE_AFTER_MILLIS),
            List.of(demand),
            NO_TIME,
            RULE)
        .get(0);
  }

  private static PrepaidLedger ledgerOf(long total) {
    PrepaidLedger ledger = new PrepaidLedger();
    ledger.setTotals(Map.of(WORKSPACE, total));
    return ledger;
  }

  @Example
  void reserveOfKilledRouterIsReclaimedAndItsOpenTokensAreNot() {
    PrepaidLedger ledger = ledgerOf(10_000);
    ledger.renew(
        "h#1", 1, times("h", 0, 1_000, 3_500), List.of(demand(2_000, 0, 500)), NO_TIME, RULE);
    assertThat(ledger.available(WORKSPACE)).isEqualTo(8_000);
    ledger.renew("h#2", 1, times("h", 2_800, 2_900, 6_300), List.of(), NO_TIME, RULE);
    assertThat(ledger.available(WORKSPACE)).isEqualTo(9_500);
    assertThat(renew(ledger, "h#1", 2, demand(1_000, 0, 0)).grantedTotal()).isEqualTo(500);
  }

  /** Guards against an account of stranded tokens that misses some or counts reclaimed ones. */
  @Example
  void unusedTokensOfEndedRoutersAreCountedAsStranded() {
    PrepaidLedger ledger = ledgerOf(10_000);
    List<PrepaidLedger.Closure> closures = new ArrayList<>();
    ledger.onClosure(closures::add);
    ledger.renew(
        "h#1", 1, times("h", 0, 1_000, 3_500), List.of(demand(2_000, 0, 500)), NO_TIME, RULE);
    assertThat(ledger.distribution(WORKSPACE))
        .isEqualTo(new PrepaidLedger.Distribution(10_000, 8_000, 2_000, 0));
    ledger.renew(
        "h#2", 1, times("h", 2_800, 2_900, 6_300), List.of(demand(1_000, 0, 100)), NO_TIME, RULE);
    assertThat(ledger.distribution(WORKSPACE))
        .isEqualTo(new PrepaidLedger.Distribution(10_000, 8_500, 1_000, 500));
    ledger.renew("h#3", 1, times("h", 99_000, 99_000, 102_500), List.of(), NO_TIME, RULE);
    assertThat(ledger.distribution(WORKSPACE))
        .isEqualTo(new PrepaidLedger.Distribution(10_000, 8_500, 0, 1_500));
    assertThat(closures).extracting(PrepaidLedger.Closure::reclaimed).containsExactly(1_500L, 0L);
    PrepaidLedger restored = ledgerOf(10_000);
    restored.restore(ledger.routers());
    assertThat(restored.distribution(WORKSPACE)).isEqualTo(ledger.distribution(WORKSPACE));
  }

  private static long availableAfterRestart(long openingMillis, long restartedAtMillis) {
    PrepaidLedger ledger = ledgerOf(10_000);
    IncarnationTimes first = new IncarnationTimes("h", 0, 1_000, 3_500, openingMillis, 0, NO_TIME);
    ledger.renew("h#1", 1, first, List.of(demand(2_000, 0, 500)), NO_TIME, RULE);
    long opensAtMillis = restartedAtMillis + 3_500;
    ledger.renew(
        "h#2",
        1,
        new IncarnationTimes(
            "h",
            restartedAtMillis,
            restartedAtMillis + 100,
            opensAtMillis,
            openingMillis,
            0,
            NO_TIME),
        List.of(),
        NO_TIME,
        RULE);
    return ledger.available(WORKSPACE);
  }

  @Example
  void partOfReserveThatMayHaveBeenOpenedStaysStranded() {
    assertThat(availableAfterRestart(6_000, 3_499)).isEqualTo(9_500);
    assertThat(availableAfterRestart(6_000, 3_600)).isEqualTo(9_475);
    assertThat(availableAfterRestart(6_000, 6_500)).isEqualTo(8_750);
    assertThat(availableAfterRestart(6_000, 9_500)).isEqualTo(8_000);
    assertThat(availableAfterRestart(6_000, 99_000)).isEqualTo(8_000);
  }

  private static long availableAfterPowerLoss(LeaderTime sentAt, LeaderTime restartedAt) {
    PrepaidLedger ledger = ledgerOf(10_000);
    IncarnationTimes first = new IncarnationTimes("h", 0, 51_000, 53_500, 6_000, 0, sentAt);
    ledger.renew("h#1", 1, first, List.of(demand(2_000, 0, 500)), NO_TIME, RULE);
    IncarnationTimes second = new IncarnationTimes("h", 10, 500, 3_510, 6_000, 50_000, NO_TIME);
    ledger.renew("h#2", 1, second, List.of(), restartedAt, RULE);
    return ledger.available(WORKSPACE);
  }

  /** Guards against tokens that are lost with routers whose hosts had no power for a while. */
  @Example
  void clockOfTheLeaderBoundsTheLifeOfRouterThatLostPower() {
    LeaderTime sentAt = new LeaderTime(7, 1_000, 300_000);
    assertThat(availableAfterPowerLoss(sentAt, new LeaderTime(7, 3_300, 300_100))).isEqualTo(9_500);
    assertThat(availableAfterPowerLoss(sentAt, new LeaderTime(7, 3_500, 300_100))).isEqualTo(9_475);
    assertThat(availableAfterPowerLoss(sentAt, new LeaderTime(7, 6_400, 300_000))).isEqualTo(8_750);
    assertThat(availableAfterPowerLoss(sentAt, new LeaderTime(7, 9_900, 300_000))).isEqualTo(8_000);
  }

  /** The readings of another process, or of a host that was suspended, prove nothing. */
  @Example
  void clocksOfTheLeaderThatCannotBeComparedProveNothing() {
    LeaderTime sentAt = new LeaderTime(7, 1_000, 300_000);
    for (LeaderTime restartedAt :
        List.of(
            new LeaderTime(8, 3_300, 300_000),
            new LeaderTime(7, 900, 300_000),
            new LeaderTime(7, 3_300, 300_251),
            new LeaderTime(7, 3_300, 299_000),
            LeaderTime.NONE)) {
      assertThat(availableAfterPowerLoss(sentAt, restartedAt)).isEqualTo(8_000);
    }
    assertThat(availableAfterPowerLoss(NO_TIME, NO_TIME)).isEqualTo(8_000);
  }

  @Example
  void reserveThatOpensAtOnceStaysStranded() {
    assertThat(availableAfterRestart(0, 3_499)).isEqualTo(9_500);
    assertThat(availableAfterRestart(0, 3_500)).isEqualTo(8_000);
    assertThat(availableAfterRestart(0, 3_600)).isEqualTo(8_000);
  }

  @Example
  void restartedClockDoesNotProveThatReserveIsUnopened() {
    PrepaidLedger ledger = ledgerOf(10_000);
    ledger.renew(
        "h#1", 1, times("h", 0, 1_000, 3_500), List.of(demand(2_000, 0, 500)), NO_TIME, RULE);
    ledger.renew("h#2", 1, times("h", 900, 950, 4_400), List.of(), NO_TIME, RULE);
    assertThat(ledger.available(WORKSPACE)).isEqualTo(8_000);
    PrepaidLedger other = ledgerOf(10_000);
    other.renew(
        "h#1", 1, times("h", 0, 1_000, 3_500), List.of(demand(2_000, 0, 500)), NO_TIME, RULE);
    other.renew(
        "h#2",
        1,
        new IncarnationTimes("h", 2_800, 2_900, 6_300, 6_000, 90_000, NO_TIME),
        List.of(),
        NO_TIME,
        RULE);
    assertThat(other.available(WORKSPACE)).isEqualTo(8_000);
  }

  /** After a power loss of all routers, half of the remaining tokens must still be available. */
  @Example
  void routersTogetherHoldNoMoreThanTheLedgerKeeps() {
    PrepaidLedger ledger = ledgerOf(10_000);
    long held = 0;
    for (int i = 0; i < 50; i++) {
      held += renew(ledger, "r" + i, 1, demand(3_000, 0, 0)).grantedTotal();
    }
    assertThat(held).isLessThanOrEqualTo(ledger.available(WORKSPACE)).isGreaterThan(4_000);
    long before = ledger.available(WORKSPACE);
    assertThat(renew(ledger, "q", 1, demand(2_000, 2_000, 0)).grantedTotal()).isEqualTo(2_000);
    assertThat(ledger.available(WORKSPACE)).isEqualTo(before - 2_000);
  }

  /**
   * Guards against requests that are refused for the rest of a day because routers held the last
   * tokens of a budget when all of them were killed.
   */
  @Example
  void routersReturnTheirShareWhenTheBudgetRunsOut() {
    PrepaidLedger ledger = ledgerOf(10_000);
    PrepaidAccount[] accounts = new PrepaidAccount[20];
    for (int i = 0; i < accounts.length; i++) {
      accounts[i] = new PrepaidAccount();
      var demand = accounts[i].demandFor(WORKSPACE, 200, 0, 200);
      accounts[i].applyAllotment(renew(ledger, "r" + i, 1, demand), 0);
    }
    // One router uses nearly all that the ledger has left.
    PrepaidAccount busy = new PrepaidAccount();
    long rest = ledger.available(WORKSPACE) - 300;
    busy.applyAllotment(renew(ledger, "busy", 1, busy.demandFor(WORKSPACE, rest, rest, rest)), 0);
    assertThat(busy.reserve(TokenCount.of(rest))).isTrue();
    busy.settle(TokenCount.of(rest), TokenCount.of(rest));
    renew(ledger, "busy", 2, busy.demandFor(WORKSPACE, 0, 0, 0));
    for (int round = 2; round < 6; round++) {
      for (int i = 0; i < accounts.length; i++) {
        IncarnationTimes times = times("r" + i, 0, 0, OPEN_RESERVE_AFTER_MILLIS);
        for (var allotment : ledger.renew("r" + i, 10L * round, times, List.of(), NO_TIME, RULE)) {
          accounts[i].applyAllotment(allotment, 0);
        }
        long held = accounts[i].free() + accounts[i].unopened();
        if (held > accounts[i].maxHeld(0)) {
          accounts[i].returnTokens(held - accounts[i].maxHeld(0));
          var demand = accounts[i].demandFor(WORKSPACE, 0, 0, 0);
          accounts[i].applyAllotment(renew(ledger, "r" + i, 10L * round + 1, demand), 0);
        }
      }
    }
    long held = 0;
    for (PrepaidAccount a : accounts) {
      held += a.free() + a.unopened();
    }
    long unused = held + ledger.available(WORKSPACE);
    assertThat(held).isBetween(unused / 4, unused * 65 / 100);
  }

  @Example
  void scarceTokensAreNotGrantedToOneRouter() {
    PrepaidLedger ledger = new PrepaidLedger();
    ledger.setTotals(Map.of(WORKSPACE, 1_000L));
    var answer = renew(ledger, "r", 1, demand(5_000, 0, 0));
    assertThat(answer.grantedTotal()).isEqualTo(250);
    assertThat(answer.available()).isEqualTo(750);
  }

  @Example
  void waitingRequestIsServedFromScarceTokens() {
    PrepaidLedger ledger = new PrepaidLedger();
    ledger.setTotals(Map.of(WORKSPACE, 1_000L));
    var answer = renew(ledger, "r", 1, demand(5_000, 900, 0));
    assertThat(answer.grantedTotal()).isEqualTo(900);
  }

  @Example
  void loweredTotalStopsGrantsUntilTokensAreReturned() {
    PrepaidLedger ledger = new PrepaidLedger();
    ledger.setTotals(Map.of(WORKSPACE, 1_000L));
    renew(ledger, "r", 1, demand(200, 0, 0));
    ledger.setTotals(Map.of(WORKSPACE, 100L));
    var refused = renew(ledger, "r", 2, demand(10, 10, 0));
    assertThat(refused.grantedTotal()).isEqualTo(200);
    assertThat(refused.available()).isZero();
  }

  @Example
  void demandDecaysWithTime() {
    PrepaidAccount account = new PrepaidAccount();
    account.recordDemand(TokenCount.of(8_000), 0);
    assertThat(account.expectedDemand(1_000, 40_000)).isLessThan(20);
  }

  /** A router must hold enough for a partition that begins seconds after the first request. */
  @Example
  void demandIsNotUnderestimatedShortlyAfterTheFirstRequest() {
    PrepaidAccount account = new PrepaidAccount();
    for (int now = 0; now < 5_000; now += 100) {
      account.recordDemand(TokenCount.of(100), now);
    }
    assertThat(account.expectedDemand(10_000, 5_000)).isBetween(9_000L, 11_000L);
    for (int now = 5_000; now < 60_000; now += 100) {
      account.recordDemand(TokenCount.of(100), now);
    }
    assertThat(account.expectedDemand(10_000, 60_000)).isBetween(9_000L, 11_000L);
  }
}
