package org.goldcrestfall.daemon.upstream;

import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.retry.FailedAttempt;
import org.goldcrestfall.core.retry.RetryDecision;
import org.goldcrestfall.core.retry.RetryPolicy;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;

/** Gives all requests of this router access to one {@link RetryPolicy}. Thread-safe. */
public final class SharedRetryPolicy {

  private final RetryPolicy policy;
  private final MillisClock clock;
  private final DaemonMetrics metrics;

  /** Creates shared access to a policy, which must not be used otherwise. */
  public SharedRetryPolicy(RetryPolicy policy, MillisClock clock, DaemonMetrics metrics) {
    this.policy = policy;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Records the first attempt of a request, which adds to the retry budget. */
  public synchronized void onRequest() {
    policy.onRequest(clock.nowMillis());
  }

  /** Decides whether a failed attempt is repeated, and counts the retries in the metrics. */
  public synchronized RetryDecision decide(FailedAttempt failedAttempt) {
    RetryDecision d = policy.decide(failedAttempt, clock.nowMillis());
    if (d.retry()) {
      metrics.countRetry(failedAttempt.sent() ? "failed" : "not_sent");
      if (failedAttempt.resumes()) {
        metrics.countResumedStream();
      }
    }
    return d;
  }
}
