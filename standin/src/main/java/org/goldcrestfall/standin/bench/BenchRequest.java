package org.goldcrestfall.standin.bench;

import java.util.List;

/** A request of a generated trace, with the output length that only the engine knows. */
record BenchRequest(
    String id,
    BenchClass patience,
    long arrivalMillis,
    int router,
    List<Long> prefix,
    int promptTokens,
    int outputTokens) {

  long deadlineMillis() {
    return arrivalMillis + patience.deadlineMillis;
  }
}
