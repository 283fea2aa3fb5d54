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

/** Guards the stated bound on what a fleet of routers admits above a limit. */
final class FleetLimiterTest {

  private static final int ROUTERS = 5;
  private static final long DELAY_MILLIS = 1_200;
  private static final List<Limit> RATE = List.of(new Limit("w", 50, 0));
  private static final List<Limit> CONCURRENCY = List.of(new Limit("w", 0, 20));

  private record Report(long at, int from, Map<String, Use> uses) {}

  private static final class Fleet {
    final List<FleetLimiter> limiters = new ArrayList<>();
    final ArrayDeque<Report> reports = new ArrayDeque<>();
    long now;

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

    /** Advances by 10 ms; each router publishes every second, and reports take 200 ms. */
    void tick() {
      now += 10;
      if (now % 1_000 == 0) {
        for (int i = 0; i < ROUTERS; i++) {
          reports.add(new Report(now, i, limiters.get(i).publish(now)));
        }
      }
      while (!reports.isEmpty() && reports.peek().at <= now - 200) {
        Report r = reports.remove();
        limiters.forEach(l -> l.onReport("r" + r.from, r.uses, now));
      }
    }
  }

  /** The load is three times the limit and moves to other routers every few seconds. */
  @Property(tries = 50, seed = "48")
  void rateStaysWithinStatedBound(@ForAll long seed) {
    Random random = new Random(seed);
    Fleet fleet = new Fleet();
    int width = 1;
    int first = 0;
    int moves = 0;
    long admitted = 0;
    long window = 20_000;
    for (int i = 0; i < window / 10; i++) {
      fleet.tick();
      if (random.nextInt(400) == 0) {
        width = 1 + random.nextInt(ROUTERS);
        first = random.nextInt(ROUTERS);
        moves++;
      }
      for (int k = 0; k < 2; k++) {
        FleetLimiter l = fleet.limiters.get((first + random.nextInt(width)) % ROUTERS);
        if (random.nextInt(4) < 3 && l.tryAcquire(RATE, fleet.now).isEmpty()) {
          l.release(RATE);
          admitted++;
        }
      }
    }
    long rate = 50;
    double bound =
        rate * window / 1_000.0
            + rate
            + ROUTERS
            + (moves + 1) * ROUTERS * rate * DELAY_MILLIS / 1_000.0;
    assertThat((double) admitted).isLessThanOrEqualTo(bound);
    // A limit that refuses most of what it allows would be a false refusal.
    assertThat((double) admitted).isGreaterThan(0.6 * rate * window / 1_000.0);
  }

  /** Requests last 3 s and are offered on all routers at 10 times the limit. */
  @Property(tries = 50, seed = "49")
  void concurrencyStaysWithinStatedBound(@ForAll long seed) {
    Random random = new Random(seed);
    Fleet fleet = new Fleet();
    ArrayDeque<long[]> running = new ArrayDeque<>();
    int most = 0;
    int later = 0;
    for (int i = 0; i < 2_000; i++) {
      fleet.tick();
      while (!running.isEmpty() && running.peek()[0] <= fleet.now) {
        fleet.limiters.get((int) running.remove()[1]).release(CONCURRENCY);
      }
      int r = random.nextInt(ROUTERS);
      if (fleet.limiters.get(r).tryAcquire(CONCURRENCY, fleet.now).isEmpty()) {
        running.add(new long[] {fleet.now + 3_000, r});
      }
      most = Math.max(most, running.size());
      later = i > 600 ? Math.max(later, running.size()) : 0;
    }
    // Before the first reports the borrow factor bounds the sum, afterwards the floor and one
    // request a router.
    assertThat(most).isBetween(15, 2 * 20);
    assertThat(later).isBetween(15, (int) (20 * 1.2) + ROUTERS);
  }

  /** Guards against a partition in which every router takes the whole limit. */
  @Example
  void staleReportsCapTheShare() {
    Fleet fleet = new Fleet();
    long admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      long now = 20_000 + 10L * i;
      for (FleetLimiter l : fleet.limiters) {
        if (i % 100 == 0) {
          l.publish(now);
        }
        if (l.tryAcquire(RATE, now).isEmpty()) {
          l.release(RATE);
          admitted++;
        }
      }
    }
    double borrow = LimitSettings.DEFAULTS.staleBorrowFactor();
    assertThat((double) admitted).isLessThanOrEqualTo(borrow * 50 * 11 + ROUTERS);
  }

  /** Guards against a request that is charged to one limit although the other refused it. */
  @Example
  void refusedRequestIsChargedToNoLimit() {
    FleetLimiter limiter = new FleetLimiter("r", LimitSettings.DEFAULTS);
    Limit wide = new Limit("workspace", 0, 2);
    Limit narrow = new Limit("key", 0, 1);
    assertThat(limiter.tryAcquire(List.of(wide, narrow), 0)).isEmpty();
    assertThat(limiter.tryAcquire(List.of(wide, narrow), 0))
        .isEqualTo(Optional.of(ErrorKind.CONCURRENCY_LIMITED));
    assertThat(limiter.tryAcquire(List.of(wide), 0)).isEmpty();
  }
}
