package org.goldcrestfall.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.goldcrestfall.core.retry.RetryDecision.Verdict;

/** Guards against repeated bookings, retry storms and the ejection of a whole pool. */
final class RetryTest {

  /**
   * Guards against retries of requests that may have run and are not idempotent (property P5), and
   * against retries beyond the budget or the caller's deadline.
   */
  @Property(tries = 300, seed = "42")
  void retriesOnlyWhatIsSafeWithinBudgetAndDeadline(@ForAll long seed) {
    Random random = new Random(seed);
    RetrySettings settings = RetrySettings.DEFAULTS;
    RetryPolicy policy = new RetryPolicy(settings, seed);
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    List<Long> unsent = new ArrayList<>();
    long nowMillis = 0;
    for (int i = 0; i < 500; i++) {
      nowMillis += random.nextInt(60);
      if (random.nextInt(3) > 0) {
        policy.onRequest(nowMillis);
        requests.add(nowMillis);
      }
      FailedAttempt failedAttempt =
          new FailedAttempt(
              random.nextBoolean(),
              random.nextBoolean(),
              1 + random.nextInt(5),
              nowMillis + random.nextInt(3_000),
              random.nextInt(5) == 0 ? random.nextInt(2_000) : 0,
              random.nextInt(4) == 0);
      RetryDecision decision = policy.decide(failedAttempt, nowMillis);
      if (!decision.retry()) {
        continue;
      }
      assertThat(failedAttempt.attempt()).isLessThan(settings.maxAttempts());
      if (!failedAttempt.resumes()) {
        (failedAttempt.sent() ? retries : unsent).add(nowMillis);
      }
      assertThat(failedAttempt.idempotent() || !failedAttempt.sent()).isTrue();
      assertThat(nowMillis + decision.delayMillis()).isLessThan(failedAttempt.deadlineMillis());
      assertThat(decision.delayMillis()).isGreaterThanOrEqualTo(failedAttempt.retryAfterMillis());
      // The counter moves in steps of a tenth of the window, so it covers 9 to 10 tenths of it.
      long shortestStart = nowMillis - settings.windowMillis() * 9 / 10;
      long longestStart = nowMillis - settings.windowMillis();
      long traffic = requests.stream().filter(t -> t >= longestStart).count();
      assertThat((double) retries.stream().filter(t -> t > shortestStart).count())
          .isLessThanOrEqualTo(settings.minRetriesPerWindow() + settings.budgetShare() * traffic);
      assertThat((double) unsent.stream().filter(t -> t > shortestStart).count())
          .isLessThanOrEqualTo(settings.minRetriesPerWindow() + settings.unsentShare() * traffic);
    }
  }

  /** Guards against synchronized retries: delays must be spread over the whole permitted range. */
  @Example
  void delayHasFullJitter() {
    RetryPolicy policy = new RetryPolicy(new RetrySettings(40, 0, 0, 10_000, 10_000, 20, 1_000), 1);
    for (int attempt = 1; attempt < 40; attempt++) {
      long bound = Math.min(1_000, 20L << Math.min(attempt - 1, 20));
      long min = Long.MAX_VALUE;
      long max = 0;
      for (int i = 0; i < 200; i++) {
        FailedAttempt failedAttempt =
            new FailedAttempt(false, false, attempt, Long.MAX_VALUE, 0, false);
        long delay = policy.decide(failedAttempt, 0).delayMillis();
        min = Math.min(min, delay);
        max = Math.max(max, delay);
      }
      assertThat(max).isLessThanOrEqualTo(bound).isGreaterThan(bound * 3 / 4);
      assertThat(min).isLessThan(bound / 4);
    }
  }

  @Example
  void sentBookingIsNotRepeated() {
    RetryPolicy policy = new RetryPolicy(RetrySettings.DEFAULTS, 1);
    assertThat(policy.decide(new FailedAttempt(true, false, 1, 9_999, 0, false), 0).verdict())
        .isEqualTo(Verdict.NOT_REPEATABLE);
  }

  /** Guards against ejecting so many upstreams that the remaining ones are overloaded. */
  @Property(tries = 300, seed = "43")
  void ejectsAtMostThirdOfPool(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int size) {
    Random random = new Random(seed);
    OutlierDetector detector = new OutlierDetector(OutlierSettings.DEFAULTS);
    List<String> pool = IntStream.range(0, size).mapToObj(i -> "e" + i).toList();
    long nowMillis = 0;
    for (int i = 0; i < 1_000; i++) {
      nowMillis += random.nextInt(40);
      String name = pool.get(random.nextInt(size));
      if (random.nextInt(10) == 0) {
        detector.onSuccess(name, nowMillis);
      } else {
        detector.onFailure(name, nowMillis);
      }
      List<String> candidates = pool.subList(0, 1 + random.nextInt(size));
      assertThat(detector.ejected(candidates, nowMillis))
          .hasSizeLessThanOrEqualTo(candidates.size() / 3);
    }
  }

  /** Guards against ejections that never end, or that do not grow with repeated failures. */
  @Example
  void ejectionTimeDoublesAndEnds() {
    OutlierDetector detector = new OutlierDetector(OutlierSettings.DEFAULTS);
    Set<String> pool = Set.of("a", "b", "c");
    long nowMillis = 0;
    for (long expected : new long[] {2_000, 4_000, 8_000}) {
      assertThat(detector.ejected(pool, nowMillis)).isEmpty();
      for (int i = 0; i < 5; i++) {
        detector.onFailure("a", nowMillis);
      }
      assertThat(detector.ejected(pool, nowMillis + expected - 1)).containsExactly("a");
      nowMillis += expected;
    }
    assertThat(detector.ejected(pool, nowMillis)).isEmpty();
    for (int i = 0; i < 20; i++) {
      if (i % 2 == 0) {
        detector.onSuccess("b", nowMillis);
      }
      detector.onFailure(i % 2 == 0 ? "c" : "b", nowMillis);
    }
    assertThat(detector.ejected(pool, nowMillis)).hasSize(1);
  }
}
