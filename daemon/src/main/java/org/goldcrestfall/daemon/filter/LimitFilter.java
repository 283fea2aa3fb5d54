package org.goldcrestfall.daemon.filter;

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
import org.goldcrestfall.core.limit.Use;

/** Holds the rate and concurrency limits of workspaces and keys. Thread-safe. */
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
    ConfigView.Workspace w = c.workspace();
    if (w.requestsPerSecond() == 0 && w.concurrentRequests() == 0) {
      return next.proceed(c);
    }
    // Keys have no limits of their own in the configuration; each is held to its workspace's.
    List<Limit> limits =
        List.of(
            new Limit("workspace/" + w.name(), w.requestsPerSecond(), w.concurrentRequests()),
            new Limit(
                "key/" + c.key().keyId() + "@" + w.name(),
                w.requestsPerSecond(),
                w.concurrentRequests()));
    Optional<ErrorKind> refusal;
    synchronized (limiter) {
      refusal = limiter.tryAcquire(limits, clock.nowMillis());
    }
    if (refusal.isPresent()) {
      throw new RequestFailure(
          refusal.get(), "The limits of workspace " + w.name() + " are reached.");
    }
    c.onEnd(
        () -> {
          synchronized (limiter) {
            limiter.release(limits);
          }
        });
    return next.proceed(c);
  }

  /** Returns the use of this router, for gossip. */
  public Map<String, Use> publish() {
    synchronized (limiter) {
      return limiter.publish(clock.nowMillis());
    }
  }

  /** Applies what gossip reports of other routers. */
  public void update(Set<String> liveRouters, Map<String, Map<String, Use>> reports) {
    synchronized (limiter) {
      limiter.setRouters(liveRouters);
      reports.forEach((router, uses) -> limiter.onReport(router, uses, clock.nowMillis()));
    }
  }
}
