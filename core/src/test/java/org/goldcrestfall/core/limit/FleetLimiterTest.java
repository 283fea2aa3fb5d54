package org.goldcrestfall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.goldcrestfall.core.common.ErrorKind;

/** Checks the documented bounds on what all routers together admit above a limit. */
final class FleetLimiterTest {

  private static final int ROUTERS = 5;
  private static final long GOSSIP_DELAY_MILLIS = 1_200;
  private static final List<Limit> RATE_LIMIT = List.of(new Limit("w", 50, 0));
  private static final List<Limit> CONCURRENCY_LIMIT = List.of(new Limit("w", 0, 20));

  private record Report(long sentAtMillis, int router, Map<String, ScopeUsage> usageByScope) {}

  private static final class Fleet {
    final List<FleetLimiter> limiters = new ArrayList<>();
    final ArrayDeque<Report> reports = new ArrayDeque<>();
    long nowMillis;

    Fleet() {
      Set<String> names = new HashSet<>();
      for (int i = 0; i < ROUTERS; i++) {
        names.add("r" + i);
      }
      for (String n : names.stream().sorted().toList()) {
        FleetLimiter limiter = new FleetLimiter(n, LimitSettings.DEFAULTS);
        limiter.setRouters(names);
        limiters.add(limiter);
      }
    }

    /** Advances by 10 ms; each router publishes every second, and reports arrive after 200 ms. */
    void tick() {
      nowMillis += 10;
      if (nowMillis % 1_000 == 0) {
        for (int i = 0; i < ROUTERS; i++) {
          reports.add(new Report(nowMillis, i, limiters.get(i).nextUsageReport(nowMillis)));
        }
      }
      while (!reports.isEmpty() && reports.peek().sentAtMillis <= nowMillis - 200) {
        Report r = reports.remove();
        limiters.forEach(l -> l.onReport("r" + r.router, r.usageByScope, nowMillis));
      }
    }
  }

  /** Offers three times the limit and moves the load to other routers every few seconds. */
  @Property(tries = 50, seed = "48")
  void rateStaysWithinStatedBound(@ForAll long seed) {
    Random random = new Random(seed);
    Fleet fleet = new Fleet();
    int loadedRouters = 1;
    int firstRouter = 0;
    int moves = 0;
    long admitted = 0;
    long durationMillis = 20_000;
    for (int i = 0; i < durationMillis / 10; i++) {
      fleet.tick();
      if (random.nextInt(400) == 0) {
        loadedRouters = 1 + random.nextInt(ROUTERS);
        firstRouter = random.nextInt(ROUTERS);
        moves++;
      }
      for (int k = 0; k < 2; k++) {
        FleetLimiter l =
            fleet.limiters.get((firstRouter + random.nextInt(loadedRouters)) % ROUTERS);
        if (random.nextInt(4) < 3 && l.tryAcquire(RATE_LIMIT, fleet.nowMillis).isEmpty()) {
          l.release(RATE_LIMIT);
          admitted++;
        }
      }
    }
    long rate = 50;
    double bound =
        rate * durationMillis / 1_000.0
            + rate
            + ROUTERS
            + (moves + 1) * ROUTERS * rate * GOSSIP_DELAY_MILLIS / 1_000.0;
    assertThat((double) admitted).isLessThanOrEqualTo(bound);
    // A limiter that refuses much of the permitted rate also fails.
    assertThat((double) admitted).isGreaterThan(0.6 * rate * durationMillis / 1_000.0);
  }

  /** Offers requests of 3 s each to random routers, at more than 10 times the limit. */
  @Property(tries = 50, seed = "49")
  void concurrencyStaysWithinStatedBound(@ForAll long seed) {
    Random random = new Random(seed);
    Fleet fleet = new Fleet();
    ArrayDeque<long[]> running = new ArrayDeque<>();
    int maxRunning = 0;
    int maxRunningAfterReports = 0;
    for (int i = 0; i < 2_000; i++) {
      fleet.tick();
      while (!running.isEmpty() && running.peek()[0] <= fleet.nowMillis) {
        fleet.limiters.get((int) running.remove()[1]).release(CONCURRENCY_LIMIT);
      }
      int r = random.nextInt(ROUTERS);
      if (fleet.limiters.get(r).tryAcquire(CONCURRENCY_LIMIT, fleet.nowMillis).isEmpty()) {
        running.add(new long[] {fleet.nowMillis + 3_000, r});
      }
      maxRunning = Math.max(maxRunning, running.size());
      maxRunningAfterReports = i > 600 ? Math.max(maxRunningAfterReports, running.size()) : 0;
    }
    // Before the first reports, the borrow factor bounds the total. Afterwards the bound is the
    // limit plus the floor and one request per router.
    assertThat(maxRunning).isBetween(15, 2 * 20);
    assertThat(maxRunningAfterReports).isBetween(15, (int) (20 * 1.2) + ROUTERS);
  }

  /** Guards against routers that each admit the whole limit while no reports arrive. */
  @Example
  void shareIsCappedWhileReportsAreMissing() {
    Fleet fleet = new Fleet();
    long admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      long nowMillis = 20_000 + 10L * i;
      for (FleetLimiter l : fleet.limiters) {
        if (i % 100 == 0) {
          l.nextUsageReport(nowMillis);
        }
        if (l.tryAcquire(RATE_LIMIT, nowMillis).isEmpty()) {
          l.release(RATE_LIMIT);
          admitted++;
        }
      }
    }
    double borrowFactor = LimitSettings.DEFAULTS.staleBorrowFactor();
    assertThat((double) admitted).isLessThanOrEqualTo(borrowFactor * 50 * 11 + ROUTERS);
  }

  /** Guards against charging a request to one limit although another limit refused it. */
  @Example
  void refusedRequestIsChargedToNoLimit() {
    FleetLimiter limiter = new FleetLimiter("r", LimitSettings.DEFAULTS);
    Limit workspaceLimit = new Limit("workspace", 0, 2);
    Limit keyLimit = new Limit("key", 0, 1);
    assertThat(limiter.tryAcquire(List.of(workspaceLimit, keyLimit), 0)).isEmpty();
    assertThat(limiter.tryAcquire(List.of(workspaceLimit, keyLimit), 0))
        .isEqualTo(Optional.of(ErrorKind.CONCURRENCY_LIMITED));
    assertThat(limiter.tryAcquire(List.of(workspaceLimit), 0)).isEmpty();
  }
}
