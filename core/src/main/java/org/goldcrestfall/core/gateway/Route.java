package org.goldcrestfall.core.gateway;

import com.google.common.collect.ImmutableList;

/**
 * Settings for the requests of one host and path prefix.
 *
 * @param name the operator's name for the route, used in logs
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param timeoutMillis the maximum time that a caller is kept waiting
 * @param targetMillis the target latency of the answer, or of the first event of a stream
 * @param priority the priority of the requests; 0 is the most urgent
 * @param split the services that receive the requests; at least one weight is positive
 * @param maxAttempts the maximum number of upstreams that a request may be sent to
 * @param isPublic whether requests need no key
 * @param hasPrompts whether requests describe a prompt, parts of which upstreams cache
 * @param resumable whether an interrupted stream may be resumed at another upstream
 * @param targetGapMillis the target for the longest gap between two events of a stream
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    int timeoutMillis,
    int targetMillis,
    int priority,
    ImmutableList<WeightedService> split,
    int maxAttempts,
    boolean isPublic,
    boolean hasPrompts,
    boolean resumable,
    int targetGapMillis) {

  /** Returns whether a request may be sent again although it may have run. */
  public boolean isRepeatable() {
    return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
  }

  /** Returns the service for a request; {@code randomNumber} is uniformly distributed. */
  public String serviceFor(long randomNumber) {
    long total = split.stream().mapToLong(WeightedService::weight).sum();
    long remaining = Math.floorMod(randomNumber, total);
    for (WeightedService s : split) {
      remaining -= s.weight();
      if (remaining < 0) {
        return s.service();
      }
    }
    throw new IllegalStateException(
        "no service of route " + name + " was selected; expected a positive total weight");
  }
}
