package org.goldcrestfall.core.retry;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.retry.RetryDecision.Verdict;

/**
 * Decides whether a failed attempt is repeated. A request is repeated only if it is idempotent or
 * the upstream certainly received none of its bytes. The backoff is exponential with full jitter
 * and ends before the caller's deadline.
 *
 * <p>The number of retries in a window is limited to a share of the requests in that window.
 * Requests that were not sent have a separate, larger share, because retrying them costs an
 * upstream nothing. Retries that resume a stream are limited only by the number of attempts: when
 * an engine fails, all its streams need another engine at the same time, and an incomplete answer
 * is useless to the caller. Not thread-safe.
 */
public final class RetryPolicy {

  private final RetrySettings settings;
  private final UniformRandomProvider random;
  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter retries;
  private final SlidingWindowCounter unsentRetries;

  /** Creates a policy whose jitter is generated from {@code seed}. */
  public RetryPolicy(RetrySettings settings, long seed) {
    this.settings = settings;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    requests = new SlidingWindowCounter(settings.windowMillis());
    retries = new SlidingWindowCounter(settings.windowMillis());
    unsentRetries = new SlidingWindowCounter(settings.windowMillis());
  }

  /** Records the first attempt of a request, which increases the retry budget. */
  public void onRequest(long nowMillis) {
    requests.add(nowMillis);
  }

  /**
   * Decides whether to repeat a failed attempt. A retry is charged to the budget unless it resumes
   * a stream.
   */
  public RetryDecision decide(FailedAttempt failedAttempt, long nowMillis) {
    if (failedAttempt.sent() && !failedAttempt.idempotent()) {
      return refuse(Verdict.NOT_REPEATABLE);
    }
    if (failedAttempt.attempt() >= settings.maxAttempts()) {
      return refuse(Verdict.ATTEMPTS_EXHAUSTED);
    }
    long delayMillis =
        Math.max(failedAttempt.retryAfterMillis(), jitterMillis(failedAttempt.attempt()));
    if (nowMillis + delayMillis >= failedAttempt.deadlineMillis()) {
      return refuse(Verdict.DEADLINE_TOO_NEAR);
    }
    if (!failedAttempt.resumes() && !tryCharge(failedAttempt.sent(), nowMillis)) {
      return refuse(Verdict.BUDGET_EXHAUSTED);
    }
    return new RetryDecision(Verdict.RETRY, delayMillis);
  }

  private boolean tryCharge(boolean sent, long nowMillis) {
    SlidingWindowCounter counter = sent ? retries : unsentRetries;
    double share = sent ? settings.budgetShare() : settings.unsentShare();
    double budget = settings.minRetriesPerWindow() + share * requests.sum(nowMillis);
    if (counter.sum(nowMillis) + 1 > budget) {
      return false;
    }
    counter.add(nowMillis);
    return true;
  }

  private long jitterMillis(int attempt) {
    int shift = Math.min(attempt - 1, 30);
    long boundMillis = Math.min(settings.maxDelayMillis(), settings.baseDelayMillis() << shift);
    return random.nextLong(boundMillis + 1);
  }

  private static RetryDecision refuse(Verdict verdict) {
    return new RetryDecision(verdict, 0);
  }
}
