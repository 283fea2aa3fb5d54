package org.goldcrestfall.daemon.filter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.limit.FleetLimiter;
import org.goldcrestfall.core.limit.Limit;
import org.goldcrestfall.core.limit.ScopeUsage;

/** Enforces the rate and concurrency limits of workspaces and keys. Thread-safe. */
public final class LimitFilter implements RequestFilter {

  private final FleetLimiter limiter;
  private final MillisClock clock;

  /** Creates the filter. */
  public LimitFilter(FleetLimiter limiter, MillisClock clock) {
    this.limiter = limiter;
    this.clock = clock;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    List<Limit> limits = limits(c);
    if (limits.isEmpty()) {
      return next.proceed(c);
    }
    Optional<ErrorKind> refusal;
    synchronized (limiter) {
      refusal = limiter.tryAcquire(limits, clock.nowMillis());
    }
    if (refusal.isPresent()) {
      throw new RequestFailure(
          refusal.get(), "A limit of key " + c.key().keyId() + " or its workspace is reached.");
    }
    c.onEnd(
        () -> {
          synchronized (limiter) {
            limiter.release(limits);
          }
        });
    return next.proceed(c);
  }

  private static List<Limit> limits(RequestContext c) {
    ConfigView.Workspace w = c.workspace();
    ConfigView.Key k = c.key();
    List<Limit> limits = new ArrayList<>();
    if (w.requestsPerSecond() > 0 || w.concurrentRequests() > 0) {
      limits.add(new Limit("workspace/" + w.name(), w.requestsPerSecond(), w.concurrentRequests()));
    }
    if (k.requestsPerSecond() > 0 || k.concurrentRequests() > 0) {
      String scope = "key/" + w.name() + "/" + k.keyId();
      limits.add(new Limit(scope, k.requestsPerSecond(), k.concurrentRequests()));
    }
    return limits;
  }

  /** Returns this router's usage of the limits for the next gossip, and records it as published. */
  public Map<String, ScopeUsage> nextUsageReport() {
    synchronized (limiter) {
      return limiter.nextUsageReport(clock.nowMillis());
    }
  }

  /** Applies the usage that other routers have published by gossip. */
  public void update(Set<String> liveRouters, Map<String, Map<String, ScopeUsage>> reports) {
    synchronized (limiter) {
      limiter.setRouters(liveRouters);
      reports.forEach((router, usage) -> limiter.onReport(router, usage, clock.nowMillis()));
    }
  }
}
