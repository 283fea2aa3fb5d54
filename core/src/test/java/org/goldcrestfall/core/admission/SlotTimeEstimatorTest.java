package org.goldcrestfall.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/**
 * Guards against estimates that make admission refuse every request, so that no observation can
 * correct them.
 */
final class SlotTimeEstimatorTest {

  @Example
  void firstTokenTimeIgnoresQueueingAndIsCapped() {
    SlotTimeEstimator estimator = new SlotTimeEstimator();
    for (int i = 0; i < 1_000; i++) {
      estimator.onCompletion("quick", 100 + (i % 2) * 5_000, 1_000);
      estimator.onCompletion("slow", 9_000, 20_000);
    }
    assertThat(estimator.firstTokenMillis("quick", 2_000)).isBetween(50L, 300L);
    assertThat(estimator.holdMillis("slow")).isEqualTo(20_000);
    assertThat(estimator.firstTokenMillis("slow", 2_000)).isEqualTo(1_000);
  }
}
