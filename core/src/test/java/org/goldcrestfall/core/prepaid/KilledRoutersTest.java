package org.goldcrestfall.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.goldcrestfall.core.common.TokenCount;

/**
 * Guards against a workspace whose requests are refused for the rest of its budget because routers
 * were killed. Routers, ledger and requests are simulated in one thread.
 */
final class KilledRoutersTest {

  private static final String WORKSPACE = "w";
  private static final GrantRule RULE = GrantRule.WHOLE_REQUESTS;
  private static final long TOTAL = 500_000;
  private static final int ROUTERS = 5;
  private static final long RENEW_INTERVAL_MILLIS = 500;
  private static final long REQUEST_INTERVAL_MILLIS = 250;
  private static final long REQUEST_MILLIS = 250;
  private static final long MAX_TOKENS = 10_000;
  private static final long USED_TOKENS = 2_500;
  private static final long RUN_MILLIS = 45_000;
  private static final long KILLED_AT_MILLIS = 8_000;
  private static final long START_MILLIS = 500;

  /** Time after its end for which a request counts with the most that it can use. */
  private static final long SETTLE_MILLIS = 1_500;

  /** Share of the total up to which a request is owed. */
  private static final double OWED_SHARE = 0.97;

  private record Task(long atMillis, int order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Integer.compare(order, other.order);
    }
  }

  private final class Router {
    final String host;
    final String name;
    final long startedAtMillis = now;
    final PrepaidAccount account = new PrepaidAccount();
    final ReserveSchedule schedule = new ReserveSchedule(now);
    long renewals;
    boolean ended;

    Router(int number) {
      host = "h" + number;
      name = host + "#" + now;
      renewPeriodically();
    }

    void renewPeriodically() {
      if (!ended) {
        renew();
        after(RENEW_INTERVAL_MILLIS, this::renewPeriodically);
      }
    }

    void renew() {
      account.openReserve(schedule.advance(now));
      List<Demand> demands =
          HoldingPolicy.nextDemand(WORKSPACE, account, TOTAL, ROUTERS, schedule.isOpening(now), now)
              .map(List::of)
              .orElse(List.of());
      IncarnationTimes times =
          new IncarnationTimes(
              host,
              startedAtMillis,
              now,
              schedule.opensAtMillis(),
              schedule.openingMillis(),
              0,
              LeaderTime.NONE);
      ledger
          .renew(name, ++renewals, times, demands, LeaderTime.NONE, RULE)
          .forEach(a -> account.applyAllotment(a, now));
      schedule.recordRenewal(now);
    }

    void settle(TokenCount reserved, TokenCount used) {
      account.settle(reserved, used);
      if (HoldingPolicy.hasTooManyOpenTokens(account, TOTAL, ROUTERS, now)) {
        renew();
      }
    }

    boolean reserve(TokenCount tokens) {
      boolean reserved = account.reserve(tokens);
      if (!reserved) {
        account.addWaiting(tokens);
        renew();
        reserved = account.reserve(tokens);
        account.removeWaiting(tokens);
      }
      if (reserved) {
        account.recordDemand(tokens, now);
      }
      return reserved;
    }
  }

  private final PrepaidLedger ledger = new PrepaidLedger();
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Router[] routers = new Router[ROUTERS];
  private long now;
  private int taskCount;
  private int sent;
  private int denied;
  private int unsettled;
  private long used;

  private void after(long delayMillis, Runnable action) {
    tasks.add(new Task(now + delayMillis, taskCount++, action));
  }

  private void run(int killed, long outageMillis, long seed) {
    ledger.setTotals(Map.of(WORKSPACE, TOTAL));
    Random random = new Random(seed);
    for (int i = 0; i < ROUTERS; i++) {
      routers[i] = new Router(i);
    }
    for (long at = 3_000; at < RUN_MILLIS; at += REQUEST_INTERVAL_MILLIS) {
      after(at, () -> request(random));
    }
    after(KILLED_AT_MILLIS, () -> kill(killed, outageMillis));
    while (!tasks.isEmpty() && tasks.peek().atMillis() < RUN_MILLIS) {
      Task task = tasks.poll();
      now = task.atMillis();
      task.action().run();
    }
  }

  private void kill(int killed, long outageMillis) {
    for (int i = 0; i < killed; i++) {
      int number = i;
      routers[i].ended = true;
      after(outageMillis + START_MILLIS, () -> routers[number] = new Router(number));
    }
  }

  /** Sends a request to a running router; the first three have most of the clients. */
  private void request(Random random) {
    List<Router> running = new ArrayList<>();
    for (Router r : routers) {
      if (!r.ended) {
        running.add(r);
      }
    }
    if (running.isEmpty()) {
      return;
    }
    int preferred = random.nextInt(10) < 6 ? Math.min(3, running.size()) : running.size();
    Router router = running.get(random.nextInt(preferred));
    sent++;
    unsettled++;
    boolean owed = used + unsettled * MAX_TOKENS <= OWED_SHARE * TOTAL;
    if (!router.reserve(TokenCount.of(MAX_TOKENS))) {
      unsettled--;
      if (owed && router.account.isExhausted(TokenCount.of(MAX_TOKENS), now)) {
        denied++;
      }
      return;
    }
    after(
        REQUEST_MILLIS,
        () -> {
          used += USED_TOKENS;
          if (!router.ended) {
            router.settle(TokenCount.of(MAX_TOKENS), TokenCount.of(USED_TOKENS));
          }
          after(SETTLE_MILLIS, () -> unsettled--);
        });
  }

  private void assertOwedRequestsAreServed() {
    assertThat(used).isLessThanOrEqualTo(TOTAL);
    assertThat(denied)
        .as("%s sent, %s tokens used, %s", sent, used, ledger.distribution(WORKSPACE))
        .isLessThanOrEqualTo(5 + sent / 500);
  }

  @Property(tries = 40, seed = "5")
  void owedRequestsAreServedAfterRoutersAreKilled(
      @ForAll @From("kills") int killed,
      @ForAll @From("outages") long outageMillis,
      @ForAll long seed) {
    new KilledRoutersTest().runAndCheck(killed, outageMillis, seed);
  }

  private void runAndCheck(int killed, long outageMillis, long seed) {
    run(killed, outageMillis, seed);
    assertOwedRequestsAreServed();
  }

  /**
   * Guards against tokens that stay open for requests which are then refused: until they are
   * killed, some routers get requests that are larger than the balance, or that no upstream takes.
   */
  @Property(tries = 40, seed = "6")
  void owedRequestsAreServedAfterRoutersThatRefusedLargeRequestsAreKilled(
      @ForAll @IntRange(min = 1, max = 3) int killed, @ForAll long seed) {
    KilledRoutersTest test = new KilledRoutersTest();
    Random random = new Random(seed);
    for (long at = 4_000; at < KILLED_AT_MILLIS; at += 200) {
      test.after(
          at,
          () -> {
            for (int i = 0; i < killed; i++) {
              TokenCount size = TokenCount.of(TOTAL / 4 + random.nextInt((int) (2 * TOTAL)));
              if (test.routers[i].reserve(size)) {
                test.routers[i].settle(size, TokenCount.ZERO);
              }
            }
          });
    }
    test.runAndCheck(killed, 1_500, seed);
  }

  @Provide
  Arbitrary<Integer> kills() {
    return Arbitraries.of(2, 3, 5);
  }

  @Provide
  Arbitrary<Long> outages() {
    return Arbitraries.of(100L, 1_500L, 3_500L, 4_500L);
  }

  @Example
  void owedRequestsAreServedWithoutAnyKill() {
    runAndCheck(0, 0, 1);
  }
}
