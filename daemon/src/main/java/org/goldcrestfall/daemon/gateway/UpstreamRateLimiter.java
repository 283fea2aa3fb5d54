package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.limit.RatePermits.Decision;
import org.goldcrestfall.core.limit.StatedLimit;
import org.goldcrestfall.daemon.site.PermitClient;

/** Keeps the rate limits that upstreams state. Confined to the event loop. */
final class UpstreamRateLimiter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long PERMIT_FAILURE_DELAY_MILLIS = 200;

  private final PermitClient permits;
  private final EventLoop loop;
  private final MillisClock clock;

  UpstreamRateLimiter(PermitClient permits, EventLoop loop, MillisClock clock) {
    this.permits = permits;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Passes to the callback whether a request may be sent to the upstream now. If not, the upstream
   * is not chosen again until its next permit is due.
   */
  void acquire(Upstream upstream, Consumer<Boolean> callback) {
    if (!upstream.load().limit().isLimited()) {
      callback.accept(true);
      return;
    }
    permits
        .acquire(upstream.entry(), upstream.load().limit())
        .whenCompleteAsync(
            (decision, failure) -> callback.accept(onDecision(upstream, decision, failure)), loop);
  }

  private boolean onDecision(Upstream upstream, Decision decision, Throwable failure) {
    if (failure != null) {
      logger.atWarning().withCause(failure).log(
          "limit: no permit of %s could be requested", upstream.entry().id());
      upstream.load().setLimitedUntil(clock.nowMillis() + PERMIT_FAILURE_DELAY_MILLIS);
      return false;
    }
    upstream.load().setLimit(decision.limit());
    if (!decision.granted()) {
      upstream.load().setLimitedUntil(clock.nowMillis() + Math.max(1, decision.retryAfterMillis()));
    }
    return decision.granted();
  }

  /** Tells the control daemon that grants the permits of an upstream that it has no limit now. */
  void onLimitLifted(Upstream upstream, StatedLimit unlimited) {
    permits
        .acquire(upstream.entry(), unlimited)
        .whenComplete(
            (decision, failure) -> {
              if (failure != null) {
                logger.atInfo().log(
                    "limit: the end of the limit of %s was not reported: %s",
                    upstream.entry().id(), failure);
              }
            });
  }
}
