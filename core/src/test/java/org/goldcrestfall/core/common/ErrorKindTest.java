package org.goldcrestfall.core.common;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against error kinds that mislead a caller about whether its request ran. */
final class ErrorKindTest {

  @Example
  void refusalBeforeDispatchIsMarkedNotRun() {
    for (ErrorKind k : ErrorKind.values()) {
      if (k.status() == 429 || k.status() == 402 || k.status() == 503) {
        assertThat(k.executionState()).as(k.code()).isEqualTo(ExecutionState.NOT_RUN);
      }
    }
  }

  @Example
  void outcomeUnknownIsNotMarkedForRetry() {
    assertThat(ErrorKind.OUTCOME_UNKNOWN.retryable()).isFalse();
    assertThat(ErrorKind.OUTCOME_UNKNOWN.executionState())
        .isEqualTo(ExecutionState.UNKNOWN_OUTCOME);
  }
}
