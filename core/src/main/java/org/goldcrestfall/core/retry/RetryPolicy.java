package org.goldcrestfall.core.retry;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.retry.RetryDecision.Verdict;

/**
 * Decides whether a failed attempt is repeated. Only an idempotent request, or one of which
 * provably no byte was sent, is repeated; the delay is exponential with full jitter and never
 * reaches the caller's deadline.
 *
 * <p>The retries of a window stay within a share of its requests. Requests that were not sent have
 * a larger share, because they cost an upstream nothing. Resumed streams are bounded by their
 * attempts only: when an engine dies, all its streams need another one at the same moment, and a
 * part of an answer is worth nothing to its caller. Not thread-safe.
 */
public final class RetryPolicy {

  private final RetrySettings settings;
  private final UniformRandomProvider random;
  private final WindowCounter requests;
  private final WindowCounter retries;
  private final WindowCounter unsentRetries;

  /** Creates a policy whose jitter follows {@code seed}. */
  public RetryPolicy(RetrySettings settings, long seed) {
    this.settings = settings;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    requests = new WindowCounter(settings.windowMillis());
    retries = new WindowCounter(settings.windowMillis());
    unsentRetries = new WindowCounter(settings.windowMillis());
  }

  /** Records the first attempt of a request, which adds to the retry budget. */
  public void onRequest(long nowMillis) {
    requests.add(nowMillis);
  }

  /** Decides about a failed attempt; a RETRY verdict is charged to the budget. */
  public RetryDecision decide(Failure failure, long nowMillis) {
    if (failure.sent() && !failure.idempotent()) {
      return refuse(Verdict.NOT_REPEATABLE);
    }
    if (failure.attempt() >= settings.maxAttempts()) {
      return refuse(Verdict.ATTEMPTS_EXHAUSTED);
    }
    long delay = Math.max(failure.retryAfterMillis(), jitter(failure.attempt()));
    if (nowMillis + delay >= failure.deadlineMillis()) {
      return refuse(Verdict.DEADLINE_TOO_NEAR);
    }
    if (!failure.resumes() && !charge(failure.sent(), nowMillis)) {
      return refuse(Verdict.BUDGET_EXHAUSTED);
    }
    return new RetryDecision(Verdict.RETRY, delay);
  }

  private boolean charge(boolean sent, long nowMillis) {
    WindowCounter counter = sent ? retries : unsentRetries;
    double share = sent ? settings.budgetShare() : settings.unsentShare();
    double budget = settings.budgetFloor() + share * requests.sum(nowMillis);
    if (counter.sum(nowMillis) + 1 > budget) {
      return false;
    }
    counter.add(nowMillis);
    return true;
  }

  private long jitter(int attempt) {
    int shift = Math.min(attempt - 1, 30);
    long bound = Math.min(settings.maxDelayMillis(), settings.baseDelayMillis() << shift);
    return random.nextLong(bound + 1);
  }

  private static RetryDecision refuse(Verdict verdict) {
    return new RetryDecision(verdict, 0);
  }
}
