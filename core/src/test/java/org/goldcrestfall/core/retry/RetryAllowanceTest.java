package org.goldcrestfall.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against repeats that together exceed the budget which all routers share. */
final class RetryAllowanceTest {

  private static final double RATIO = 0.2;
  private static final double SLACK = 116;
  private static final long WINDOW = 10_000;

  /** Checks every sliding window over the sends of all routers, in the worst case of need. */
  @Property(tries = 20, seed = "3")
  void allRoutersTogetherStayWithinTheSharedBudget(@ForAll long seed) {
    Random random = new Random(seed);
    int routers = 2 + random.nextInt(20);
    List<RetryAllowance> allowances = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      allowances.add(new RetryAllowance(RATIO, SLACK, WINDOW));
    }
    List<Long> first = new ArrayList<>();
    List<Long> repeated = new ArrayList<>();
    for (long now = 0; now < 40_000; now += 1 + random.nextInt(20)) {
      RetryAllowance a = allowances.get(random.nextInt(routers));
      a.onFirst(now);
      first.add(now);
      if (a.tryRepeat(routers, now)) {
        repeated.add(now);
      }
    }
    for (long end = WINDOW; end < 40_000; end += 250) {
      assertThat((double) count(repeated, end))
          .isLessThanOrEqualTo(RATIO * count(first, end) + SLACK);
    }
  }

  private static long count(List<Long> times, long end) {
    return times.stream().filter(t -> t > end - WINDOW && t <= end).count();
  }
}
