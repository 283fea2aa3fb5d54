package org.goldcrestfall.daemon.site;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.limit.RatePermits;
import org.goldcrestfall.core.limit.StatedLimit;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.PermitReply;
import org.goldcrestfall.wire.generated.PermitRequest;

/**
 * Grants routers permits to send requests to upstreams that limit their rate. Routers agree on the
 * control daemon that grants the permits of an upstream. Confined to one event loop.
 */
public final class PermitService {

  /** What an earlier control daemon granted last is not known. */
  private static final double FIRST_DELAY_INTERVALS = 1;

  private final PeerTransport transport;
  private final EventLoop loop;
  private final MillisClock clock;
  private final RatePermits permits = new RatePermits(() -> FIRST_DELAY_INTERVALS);

  /** Creates the service; {@link #start} makes it accept requests. */
  public PermitService(PeerTransport transport, EventLoop loop, MillisClock clock) {
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
  }

  /** Registers the message handler. */
  public void start() {
    transport.registerHandler(
        KindCase.PERMIT_REQUEST,
        (sender, body) ->
            CompletableFuture.supplyAsync(() -> decide(body.getPermitRequest()), loop));
  }

  private Body decide(PermitRequest request) {
    long now = clock.nowMillis();
    // Earlier routers state their share of the rate alone.
    boolean statesShare = request.getShare() > 0 && request.getShare() <= 1;
    double share = statesShare ? request.getShare() : 1;
    RatePermits.Decision decision =
        permits.acquire(
            request.getUpstream() + "#" + request.getStartedAt(),
            new StatedLimit(request.getRate() / share, now - request.getAge()),
            share,
            now);
    PermitReply reply =
        PermitReply.newBuilder()
            .setGranted(decision.granted())
            .setRetryAfter(decision.retryAfterMillis())
            .setRate(decision.limit().requestsPerSecond() * share)
            .setAge(now - decision.limit().statedAtMillis())
            .build();
    return Body.newBuilder().setPermitReply(reply).build();
  }
}
