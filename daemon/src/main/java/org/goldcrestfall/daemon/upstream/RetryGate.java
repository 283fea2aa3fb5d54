package org.goldcrestfall.daemon.upstream;

import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.retry.Failure;
import org.goldcrestfall.core.retry.RetryDecision;
import org.goldcrestfall.core.retry.RetryPolicy;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;

/** The retry policy of this router, shared by all requests. Thread-safe. */
public final class RetryGate {

  private final RetryPolicy policy;
  private final MillisClock clock;
  private final DaemonMetrics metrics;

  /** Creates the gate. */
  public RetryGate(RetryPolicy policy, MillisClock clock, DaemonMetrics metrics) {
    this.policy = policy;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Notes the first attempt of a request. */
  public synchronized void onRequest() {
    policy.onRequest(clock.nowMillis());
  }

  /** Decides about a failed attempt. */
  public synchronized RetryDecision decide(Failure f) {
    RetryDecision d = policy.decide(f, clock.nowMillis());
    if (d.retry()) {
      metrics.retry(f.sent() ? "failed" : "not_sent");
      if (f.resumes()) {
        metrics.streamResumed();
      }
    }
    return d;
  }
}
