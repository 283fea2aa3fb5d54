package org.goldcrestfall.standin.bench;

import java.util.List;

/** A request of a generated trace, with the output length that only the engine knows. */
record BenchRequest(
    String id,
    BenchPatienceClass patienceClass,
    long arrivalMillis,
    int routerIndex,
    List<Long> prefixHashes,
    int promptTokens,
    int outputTokens) {

  long deadlineMillis() {
    return arrivalMillis + patienceClass.deadlineMillis;
  }
}
