package org.goldcrestfall.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.goldcrestfall.core.dispatch.RequestSize;

/** Guards against charges for requests that did not run, and against requests that run for free. */
final class RequestChargeTest {

  private static final RequestSize SIZE = new RequestSize(4_000, 500, ImmutableList.of());

  /**
   * Guards against budgets that are refused as used up while many callers leave waiting engines.
   */
  @Example
  void requestWhoseCallerLeftBeforeTheFirstTokenIsNotCharged() {
    assertThat(new RequestCharge(SIZE, 1, false, true, 0).tokens()).isZero();
  }

  @Example
  void requestWhoseCallerLeftMidwayIsChargedItsPromptAndTheOutputPassedOn() {
    assertThat(new RequestCharge(SIZE, 1, true, true, 60).tokens()).isEqualTo(4_060);
  }

  @Example
  void requestThatFailedBeforeTheFirstTokenIsChargedItsPrompt() {
    assertThat(new RequestCharge(SIZE, 1, false, false, 0).tokens()).isEqualTo(4_000);
  }

  @Example
  void requestWithAnEarlierFailedAttemptIsChargedItsPromptEvenIfItsCallerLeft() {
    assertThat(new RequestCharge(SIZE, 2, false, true, 0).tokens()).isEqualTo(4_000);
  }

  @Example
  void requestThatNoUpstreamTookIsNotCharged() {
    assertThat(new RequestCharge(SIZE, 0, false, true, 0).tokens()).isZero();
    assertThat(new RequestCharge(SIZE, 0, false, false, 0).tokens()).isZero();
  }

  @Property(tries = 500)
  void beginOfTheResponseMeansThatThePromptIsCharged(
      @ForAll @IntRange(min = 1, max = 5) int attempts,
      @ForAll boolean callerLeft,
      @ForAll @LongRange(min = 0, max = 5_000) long output) {
    long tokens = new RequestCharge(SIZE, attempts, true, callerLeft, output).tokens();
    assertThat(tokens).isBetween(SIZE.promptTokens(), SIZE.maxTokens());
  }
}
