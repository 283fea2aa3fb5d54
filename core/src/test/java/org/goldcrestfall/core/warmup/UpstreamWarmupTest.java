package org.goldcrestfall.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against an upstream that crashes because all routers prefer it when it comes back empty:
 * in no second may more requests that were sent in that second arrive than it tolerates.
 */
final class UpstreamWarmupTest {

  private static final double RATE = 8.5;
  private static final double TOLERATED = 1.5 * RATE + 5;
  private static final int RUN_MILLIS = 6_000;
  private static final int STEP_MILLIS = 10;

  /** A router that sends whenever it may, and is frozen, killed and started again meanwhile. */
  private static final class FakeRouter {
    final RouterPosition position;
    final Random random;
    long frozenMillis;
    long frozenUntilMillis;
    UpstreamWarmup warmup;

    FakeRouter(RouterPosition position, Random random) {
      this.position = position;
      this.random = random;
      start(0);
    }

    private void start(long now) {
      warmup = new UpstreamWarmup(now - frozenMillis);
      warmup.extend(RUN_MILLIS, now - frozenMillis);
    }

    void step(long now, List<long[]> sendsAndArrivals) {
      if (now < frozenUntilMillis) {
        frozenMillis += STEP_MILLIS;
        return;
      }
      switch (random.nextInt(400)) {
        case 0 -> frozenUntilMillis = now + random.nextInt(2_000);
        case 1 -> start(now);
        default -> send(now, sendsAndArrivals);
      }
    }

    /** The clock of the router stands still while it is frozen. */
    private void send(long now, List<long[]> sendsAndArrivals) {
      long clock = now - frozenMillis;
      if (warmup.isWarmingUp(clock)
          && warmup.maySend(position.sendsPerSecond("u", RATE), clock)
          && random.nextInt(3) == 0) {
        warmup.onSend(clock);
        sendsAndArrivals.add(new long[] {now, now + random.nextInt(300)});
      }
    }
  }

  @Property(tries = 60, seed = "4221", shrinking = ShrinkingMode.OFF)
  void boundHoldsWithoutMessagesWhateverStops(
      @ForAll @IntRange(min = 3, max = 150) int routers, @ForAll long seed) {
    Random random = new Random(seed);
    List<FakeRouter> fleet = new ArrayList<>();
    for (int number = 0; number < routers; number++) {
      // Up to half of the routers may be registered without the others' knowledge.
      int known = Math.max(number + 1, routers - random.nextInt(1 + routers / 2));
      fleet.add(new FakeRouter(new RouterPosition(number, known), random));
    }
    List<long[]> sendsAndArrivals = new ArrayList<>();
    for (long now = 0; now < RUN_MILLIS; now += STEP_MILLIS) {
      for (FakeRouter r : fleet) {
        r.step(now, sendsAndArrivals);
      }
    }
    for (long[] first : sendsAndArrivals) {
      long from = first[0];
      long count =
          sendsAndArrivals.stream().filter(s -> s[0] >= from && s[1] < from + 1_000).count();
      assertThat((double) count).isLessThanOrEqualTo(TOLERATED);
    }
    assertThat(sendsAndArrivals).isNotEmpty();
  }

  @Example
  void sendsBeforeTheWarmupCount() {
    UpstreamWarmup warmup = new UpstreamWarmup(0);
    warmup.onSend(5_000);
    warmup.extend(3_000, 5_400);
    assertThat(warmup.maySend(1, 5_500)).isFalse();
    assertThat(warmup.maySend(2, 5_500)).isTrue();
    assertThat(warmup.maySend(1, 6_050)).isTrue();
  }

  /** Guards against an upstream that restarts under the same id behind a cut. */
  @Example
  void failedConnectionLeavesTheUpstreamSuspectedUntilItHasWarmedUp() {
    UpstreamWarmup warmup = new UpstreamWarmup(0);
    warmup.onConnected(3_000, 5_000);
    assertThat(warmup.isWarmingUp(5_000)).isFalse();
    warmup.onConnectFailed();
    assertThat(warmup.isWarmingUp(60_000)).isTrue();
    warmup.onConnected(3_000, 60_000);
    warmup.onConnected(3_000, 62_000);
    assertThat(warmup.isWarmingUp(62_999)).isTrue();
    assertThat(warmup.isWarmingUp(63_000)).isFalse();
  }

  /** Guards against a router that never tries an upstream again that others may send to. */
  @Example
  void suspectedUpstreamMayBeChosenToConnectButGetsNothingYet() {
    UpstreamWarmup warmup = new UpstreamWarmup(0);
    warmup.onConnectFailed();
    assertThat(warmup.mayChoose(0, 5_000)).isTrue();
    warmup.onConnected(3_000, 5_000);
    assertThat(warmup.maySend(0, 5_000)).isFalse();
    assertThat(warmup.mayChoose(0, 5_001)).isFalse();
    assertThat(warmup.mayChoose(1, 5_001)).isTrue();
    assertThat(warmup.mayChoose(0, 8_000)).isTrue();
  }

  @Example
  void announcementsOnlyExtendTheWarmup() {
    UpstreamWarmup warmup = new UpstreamWarmup(0);
    warmup.extend(3_000, 1_000);
    warmup.extend(0, 2_000);
    assertThat(warmup.isWarmingUp(3_999)).isTrue();
  }
}
