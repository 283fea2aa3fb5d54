package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RendezvousHash;
import org.goldcrestfall.core.limit.RatePermits;
import org.goldcrestfall.core.limit.RatePermits.Decision;
import org.goldcrestfall.core.limit.StatedLimit;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.PermitReply;
import org.goldcrestfall.wire.generated.PermitRequest;

/**
 * Obtains permits to send requests to upstreams that limit their rate. One control daemon grants
 * all permits of an upstream; if it does not answer, a second one grants a part of the rate. While
 * neither answers, the router uses an equal share of the rate. Confined to one event loop.
 */
public final class PermitClient {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Several times the round-trip time within a region; the request waits for the permit. */
  private static final long CALL_TIMEOUT_MILLIS = 100;

  /** Time for which a control daemon that has not answered is not asked again. */
  private static final long PAUSE_MILLIS = 2_000;

  private static final int CONTROLS_PER_UPSTREAM = 2;

  private final SiteClient siteClient;
  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final Map<String, Long> pausedUntilMillis = new HashMap<>();
  private final RatePermits ownShare =
      new RatePermits(() -> ThreadLocalRandom.current().nextDouble());

  /** Creates the client of the router that watches the site with {@code siteClient}. */
  public PermitClient(
      SiteClient siteClient, PeerTransport transport, EventLoop loop, MillisClock clock) {
    this.siteClient = siteClient;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Requests a permit to send one request.
   *
   * @param stated the limit that this router knows
   */
  public CompletableFuture<Decision> acquire(UpstreamEntry upstream, StatedLimit stated) {
    List<String> controls =
        RendezvousHash.subset(
            upstream.id(), siteClient.controlAddresses(), a -> a, CONTROLS_PER_UPSTREAM);
    return acquire(upstream, stated, controls, 0);
  }

  /** Asks the control daemons from the one at {@code first} on. */
  private CompletableFuture<Decision> acquire(
      UpstreamEntry upstream, StatedLimit stated, List<String> controls, int first) {
    long now = clock.nowMillis();
    for (int i = first; i < controls.size(); i++) {
      String control = controls.get(i);
      if (pausedUntilMillis.getOrDefault(control, Long.MIN_VALUE) > now) {
        continue;
      }
      int next = i + 1;
      double share = i == 0 ? 1 : RatePermits.SUBSTITUTE_SHARE;
      return call(control, upstream, stated, share)
          .handleAsync(
              (decision, failure) -> {
                if (failure == null) {
                  return CompletableFuture.completedFuture(decision);
                }
                logger.atInfo().log(
                    "limit: control daemon %s did not answer a request for a permit of %s: %s",
                    control, upstream.id(), failure);
                pausedUntilMillis.put(control, clock.nowMillis() + PAUSE_MILLIS);
                return acquire(upstream, stated, controls, next);
              },
              loop)
          .thenCompose(f -> f);
    }
    return CompletableFuture.completedFuture(acquireFromOwnShare(upstream, stated, now));
  }

  private CompletableFuture<Decision> call(
      String control, UpstreamEntry upstream, StatedLimit stated, double share) {
    long sentAtMillis = clock.nowMillis();
    PermitRequest request =
        PermitRequest.newBuilder()
            .setUpstream(upstream.id())
            .setStartedAt(upstream.startedAtMillis())
            .setRate(share * stated.requestsPerSecond())
            .setShare(share)
            .setAge(sentAtMillis - stated.statedAtMillis())
            .build();
    return transport
        .call(control, Body.newBuilder().setPermitRequest(request).build(), CALL_TIMEOUT_MILLIS)
        .thenApply(
            body -> {
              PermitReply reply = body.getPermitReply();
              return new Decision(
                  reply.getGranted(),
                  reply.getRetryAfter(),
                  new StatedLimit(reply.getRate() / share, sentAtMillis - reply.getAge()));
            });
  }

  private Decision acquireFromOwnShare(UpstreamEntry upstream, StatedLimit stated, long now) {
    return ownShare.acquire(
        upstream.id() + "#" + upstream.startedAtMillis(),
        stated,
        1.0 / siteClient.routerCount(),
        now);
  }
}
