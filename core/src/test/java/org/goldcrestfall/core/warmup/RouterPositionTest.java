package org.goldcrestfall.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Guards against subsets of routers that send more to an upstream than it takes, or nothing. */
final class RouterPositionTest {

  /** How much more routers may send than the rate, since each sends a whole number of requests. */
  private static final int ROUNDING_SENDS = 3;

  private static int sendsOfAll(String upstream, double rate, int routers) {
    int sends = 0;
    for (int number = 0; number < routers; number++) {
      sends += new RouterPosition(number, routers).sendsPerSecond(upstream, rate);
    }
    return sends;
  }

  @Property(tries = 2_000, seed = "4211")
  void routersTogetherSendAboutTheRate(
      @ForAll @IntRange(min = 3, max = 150) int routers,
      @ForAll @DoubleRange(min = 0.5, max = 20) double rate,
      @ForAll int upstream) {
    assertThat(sendsOfAll("u" + upstream, rate, routers))
        .isLessThanOrEqualTo((int) rate + ROUNDING_SENDS)
        .isGreaterThanOrEqualTo((int) Math.min(rate, routers) / 2 - 1);
  }

  @Example
  void subsetsOfLargeFleetsHaveTheSameSize() {
    for (int upstream = 0; upstream < 200; upstream++) {
      assertThat(sendsOfAll("u" + upstream, 8.5, 2_200)).isBetween(6, 11);
    }
  }

  /** Half of the routers have heard of no router that registered after them. */
  @Property(tries = 2_000, seed = "4212")
  void outdatedCountsAddFewSends(
      @ForAll @IntRange(min = 2, max = 150) int before,
      @ForAll @DoubleRange(min = 0.5, max = 15) double rate,
      @ForAll int upstream) {
    int sends = 0;
    for (int number = 0; number < 2 * before; number++) {
      int known = number < before ? before : number + 1;
      sends += new RouterPosition(number, known).sendsPerSecond("u" + upstream, rate);
    }
    assertThat((double) sends).isLessThanOrEqualTo(1.5 * rate + 5);
  }

  @Example
  void eachRouterMayUseItsShareOfTheUpstreams() {
    for (int number = 0; number < 136; number++) {
      int usable = 0;
      for (int upstream = 0; upstream < 1_000; upstream++) {
        usable += new RouterPosition(number, 136).sendsPerSecond("u" + upstream, 8.5);
      }
      assertThat(usable).isBetween(30, 100);
    }
  }

  @Example
  void routerWithoutNumberSendsNothing() {
    assertThat(RouterPosition.NONE.sendsPerSecond("u", 100)).isZero();
    assertThat(RouterNumbers.NONE.with(1, "a").positionOf("b")).isEqualTo(RouterPosition.NONE);
  }

  @Example
  void hostKeepsItsNumber() {
    RouterNumbers numbers = RouterNumbers.NONE.with(1, "a").with(2, "b").with(3, "a");
    assertThat(numbers.positionOf("a")).isEqualTo(new RouterPosition(0, 2));
    assertThat(numbers.index()).isEqualTo(2);
  }
}
