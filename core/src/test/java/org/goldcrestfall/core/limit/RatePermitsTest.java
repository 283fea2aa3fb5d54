package org.goldcrestfall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Guards against upstreams that get far more requests than the limit that they have stated. */
class RatePermitsTest {

  private static final long WINDOW_MILLIS = 4_000;

  private final RatePermits permits = new RatePermits(() -> 1);

  private static StatedLimit limit(double rate) {
    return new StatedLimit(rate, 0);
  }

  private int grantedFrom(long startMillis, long endMillis, double rate, long statedAtMillis) {
    int granted = 0;
    for (long now = startMillis; now < endMillis; now += 10) {
      var stated = new StatedLimit(rate, statedAtMillis);
      granted += permits.acquire("u", stated, 1, now).granted() ? 1 : 0;
    }
    return granted;
  }

  /**
   * Load pattern: callers of all routers together ask for many times the limit, in bursts and
   * pauses, and some of them cannot reach the daemon that grants the permits, but a second one. In
   * no window of 4 s may the upstream get more than one and a half times the limit and five
   * requests.
   */
  @Property(tries = 300)
  void noWindowExceedsTheLimitThoughSomeRoutersAskSubstitute(
      @ForAll Random random,
      @ForAll @DoubleRange(min = 0, max = 200) double rate,
      @ForAll @IntRange(min = 1, max = 20) int demandRatio) {
    RatePermits first = new RatePermits(() -> 1);
    RatePermits second = new RatePermits(() -> 1);
    final long cutFromMillis = random.nextInt(10_000);
    final long cutToMillis = cutFromMillis + random.nextInt(10_000);
    List<Long> granted = new ArrayList<>();
    double now = 0;
    while (now < 20_000) {
      boolean pause = random.nextInt(200) == 0;
      double demand = Math.max(rate, 2) * demandRatio;
      now += pause ? random.nextInt(3_000) : 1_000 / demand * random.nextDouble();
      boolean cut = now > cutFromMillis && now < cutToMillis && random.nextBoolean();
      double share = cut ? RatePermits.SUBSTITUTE_SHARE : 1;
      if ((cut ? second : first).acquire("u", limit(rate), share, (long) now).granted()) {
        granted.add((long) now);
      }
    }
    for (int from = 0, to = 0; to < granted.size(); to++) {
      while (granted.get(to) - granted.get(from) >= WINDOW_MILLIS) {
        from++;
      }
      assertThat(to - from + 1.0).isLessThanOrEqualTo(1.5 * rate * WINDOW_MILLIS / 1_000 + 5);
    }
  }

  @Example
  void continuousDemandGetsNearlyTheWholeRate() {
    assertThat(grantedFrom(0, 20_000, 3.2, 0)).isBetween(62, 64);
  }

  @Example
  void refusalTellsWhenTheNextPermitIsDue() {
    assertThat(permits.acquire("u", limit(4), 1, 0).granted()).isFalse();
    RatePermits.Decision refused = permits.acquire("u", limit(4), 1, 100);
    assertThat(refused.granted()).isFalse();
    assertThat(refused.retryAfterMillis()).isEqualTo(150);
    assertThat(permits.acquire("u", limit(4), 1, 250).granted()).isTrue();
  }

  @Example
  void limitThatWasStatedLastHoldsWhoeverReportsIt() {
    grantedFrom(0, 1_000, 2, 0);
    var lifted = new StatedLimit(StatedLimit.UNLIMITED, 1_000);
    assertThat(permits.acquire("u", lifted, 1, 1_000).granted()).isTrue();
    // A router that still knows only the old limit learns that there is none.
    RatePermits.Decision late = permits.acquire("u", limit(2), 1, 1_010);
    assertThat(late.granted()).isTrue();
    assertThat(late.limit().isLimited()).isFalse();
    assertThat(grantedFrom(1_020, 2_020, 5, 1_015)).isBetween(4, 5);
  }

  @Example
  void riseOfTheLimitTakesEffectBeforeTheNextPermitOfTheLowerOne() {
    assertThat(permits.acquire("u", limit(0.1), 1, 0).granted()).isFalse();
    var raised = new StatedLimit(100, 50);
    assertThat(permits.acquire("u", raised, 1, 100).granted()).isFalse();
    assertThat(permits.acquire("u", raised, 1, 120).granted()).isTrue();
  }

  /**
   * Guards against an upstream that once took no requests, or hardly any, and never gets one again:
   * only its next answer tells that its limit has ended (review/14).
   */
  @Property
  void upstreamThatTakesNearlyNothingGetsOneRequestInTwoSeconds(
      @ForAll @DoubleRange(min = 0, max = 0.1) double rate) {
    RatePermits p = new RatePermits(() -> 1);
    for (long now = 0; now < 20_000; now += 10) {
      boolean due = now > 0 && now % 2_000 == 0;
      assertThat(p.acquire("u", limit(rate), 1, now).granted()).isEqualTo(due);
    }
  }

  @Example
  void requestAfterTheTestTellsThatTheLimitHasEnded() {
    grantedFrom(0, 2_010, 0, 0);
    var lifted = new StatedLimit(StatedLimit.UNLIMITED, 2_050);
    permits.acquire("u", lifted, 1, 2_050);
    assertThat(permits.acquire("u", limit(0), 1, 2_060).granted()).isTrue();
  }
}
