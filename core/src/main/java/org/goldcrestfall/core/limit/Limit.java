package org.goldcrestfall.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of one scope over all routers; 0 means unlimited.
 *
 * @param scope name of the workspace or key, unique among both
 * @param requestsPerSecond maximum rate of admitted requests
 * @param concurrentRequests maximum number of requests running at the same time
 */
public record Limit(String scope, long requestsPerSecond, long concurrentRequests) {

  /** Checks the arguments. */
  public Limit {
    checkArgument(requestsPerSecond >= 0, "requestsPerSecond must not be negative");
    checkArgument(concurrentRequests >= 0, "concurrentRequests must not be negative");
  }
}
