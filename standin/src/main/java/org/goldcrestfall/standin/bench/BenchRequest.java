package org.goldcrestfall.standin.bench;

import java.util.List;

/**
 * A request of a generated trace.
 *
 * @param arrivalMillis time of arrival since the start of the trace
 * @param routerIndex index of the router that receives the request
 * @param prefixHashes hashes of the complete prompt blocks, in prompt order
 * @param promptTokens length of the prompt
 * @param outputTokens length of the output, which only the engine knows in advance
 */
record BenchRequest(
    String id,
    BenchPatienceClass patienceClass,
    long arrivalMillis,
    int routerIndex,
    List<Long> prefixHashes,
    int promptTokens,
    int outputTokens) {

  /** Returns the latest time of the first token since the start of the trace. */
  long deadlineMillis() {
    return arrivalMillis + patienceClass.deadlineMillis;
  }
}
