package org.goldcrestfall.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A failed attempt to send a request to an upstream.
 *
 * @param sent whether the upstream may have received any byte of the request
 * @param idempotent whether the request can safely be sent again; model requests can, because they
 *     are billed once per request id, and bookings cannot
 * @param attempt number of the failed attempt, counted from 1
 * @param deadlineMillis deadline of the caller, on the router's monotonic clock
 * @param retryAfterMillis minimum delay that the upstream asked for; 0 if none
 * @param resumes whether the retry resumes a stream that the caller has partly received
 */
public record FailedAttempt(
    boolean sent,
    boolean idempotent,
    int attempt,
    long deadlineMillis,
    long retryAfterMillis,
    boolean resumes) {

  /** Checks the arguments. */
  public FailedAttempt {
    checkArgument(attempt >= 1, "attempt must be at least 1: %s", attempt);
    checkArgument(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
  }
}
