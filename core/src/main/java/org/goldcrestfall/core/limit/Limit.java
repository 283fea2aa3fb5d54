package org.goldcrestfall.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Fleet-wide limits of a scope; 0 is no limit.
 *
 * @param scope workspace or key, as a name that is unique over both
 * @param requestsPerSecond requests a second
 * @param concurrentRequests requests that run at the same time
 */
public record Limit(String scope, long requestsPerSecond, long concurrentRequests) {

  /** Checks the arguments. */
  public Limit {
    checkArgument(requestsPerSecond >= 0, "requestsPerSecond must not be negative");
    checkArgument(concurrentRequests >= 0, "concurrentRequests must not be negative");
  }
}
