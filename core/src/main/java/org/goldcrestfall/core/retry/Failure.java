package org.goldcrestfall.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A failed attempt.
 *
 * @param sent whether the upstream may have received any byte of the request
 * @param idempotent whether repeating the request is harmless: model requests are, because they are
 *     billed by request id; bookings are not
 * @param attempt number of the failed attempt, from 1
 * @param deadlineMillis caller's deadline on the router's clock
 * @param retryAfterMillis delay that the upstream asked for; 0 if none
 * @param resumes whether the retry continues a stream of which the caller has a part
 */
public record Failure(
    boolean sent,
    boolean idempotent,
    int attempt,
    long deadlineMillis,
    long retryAfterMillis,
    boolean resumes) {

  /** Checks the arguments. */
  public Failure {
    checkArgument(attempt >= 1, "attempt must be at least 1: %s", attempt);
    checkArgument(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
  }
}
