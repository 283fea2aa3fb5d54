package org.goldcrestfall.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against repeated sends that together exceed the budget shared by all routers. */
final class RetryAllowanceTest {

  private static final double RATIO = 0.2;
  private static final double SLACK = 116;
  private static final long WINDOW_MILLIS = 10_000;

  /**
   * Checks windows over the sends of all routers. Each first send is followed by an attempt to
   * repeat it, so the demand for repeated sends is as high as possible.
   */
  @Property(tries = 20, seed = "3")
  void allRoutersTogetherStayWithinTheSharedBudget(@ForAll long seed) {
    Random random = new Random(seed);
    int routers = 2 + random.nextInt(20);
    List<RetryAllowance> allowances = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      allowances.add(new RetryAllowance(RATIO, SLACK, WINDOW_MILLIS));
    }
    List<Long> firstSends = new ArrayList<>();
    List<Long> repeatedSends = new ArrayList<>();
    for (long nowMillis = 0; nowMillis < 40_000; nowMillis += 1 + random.nextInt(20)) {
      RetryAllowance a = allowances.get(random.nextInt(routers));
      a.onFirstSend(nowMillis);
      firstSends.add(nowMillis);
      if (a.tryAcquireRepeat(routers, nowMillis)) {
        repeatedSends.add(nowMillis);
      }
    }
    for (long endMillis = WINDOW_MILLIS; endMillis < 40_000; endMillis += 250) {
      assertThat((double) count(repeatedSends, endMillis))
          .isLessThanOrEqualTo(RATIO * count(firstSends, endMillis) + SLACK);
    }
  }

  private static long count(List<Long> timesMillis, long endMillis) {
    return timesMillis.stream()
        .filter(t -> t > endMillis - WINDOW_MILLIS && t <= endMillis)
        .count();
  }
}
