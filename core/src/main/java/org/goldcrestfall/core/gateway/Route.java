package org.goldcrestfall.core.gateway;

import com.google.common.collect.ImmutableList;

/**
 * Forwards the requests of one host and path prefix.
 *
 * @param name the operator's name of the route, for logs
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMillis the longest time that a caller is kept waiting
 * @param targetMillis the time in which an answer, or the first event of a stream, is on time
 * @param priority 0 is the most urgent
 * @param split the services that take the requests; the weights do not add up to 0
 * @param maxAttempts the most upstreams that one request may be sent to
 * @param isPublic whether requests need no key
 * @param hasPrompts whether requests describe a prompt, whose parts upstreams keep in memory
 * @param resumable whether a broken stream may go on at another upstream
 * @param targetGapMillis the longest pause between two events of a stream that is on time
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

  /** Returns whether a request that may have run can be sent again. */
  public boolean isRepeatable() {
    return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
  }

  /** Returns the service for a request; {@code ticket} is any number, equally likely. */
  public String serviceFor(long ticket) {
    long total = split.stream().mapToLong(WeightedService::weight).sum();
    long rest = Math.floorMod(ticket, total);
    for (WeightedService s : split) {
      rest -= s.weight();
      if (rest < 0) {
        return s.service();
      }
    }
    throw new IllegalStateException("the weights of route " + name + " changed");
  }
}
