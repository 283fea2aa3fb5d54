package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.goldcrestfall.core.gateway.WarmupSettings;
import org.goldcrestfall.core.site.EvacuatedZones;
import org.goldcrestfall.core.warmup.UpstreamWarmup;
import org.goldcrestfall.daemon.site.SiteClient;

/**
 * Keeps the limit of services for upstreams that warm up: this router sends to those that its
 * position among the routers allows, and holds back from the others. Confined to the event loop.
 */
final class WarmupLimiter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final SiteClient siteClient;
  private final Function<String, Optional<WarmupSettings>> settingsOfService;
  private final GatewayMetrics metrics;

  WarmupLimiter(
      SiteClient siteClient,
      Function<String, Optional<WarmupSettings>> settingsOfService,
      GatewayMetrics metrics) {
    this.siteClient = siteClient;
    this.settingsOfService = settingsOfService;
    this.metrics = metrics;
  }

  /** Returns whether an upstream may be chosen for a request. */
  boolean mayChoose(Upstream upstream, long now) {
    UpstreamWarmup warmup = upstream.warmup();
    if (!warmup.isWarmingUp(now)) {
      return true;
    }
    Optional<WarmupSettings> settings = settingsOfService.apply(upstream.entry().service());
    return settings.isEmpty() || warmup.mayChoose(sendsPerSecond(upstream, settings.get()), now);
  }

  private int sendsPerSecond(Upstream upstream, WarmupSettings settings) {
    return siteClient
        .position()
        .sendsPerSecond(upstream.incarnation(), settings.requestsPerSecond());
  }

  /**
   * Counts a request that is about to be written to an open connection of an upstream, and returns
   * whether it may be.
   */
  boolean trySend(Upstream upstream, long now) {
    Optional<WarmupSettings> settings = settingsOfService.apply(upstream.entry().service());
    if (settings.isEmpty()) {
      return true;
    }
    UpstreamWarmup warmup = upstream.warmup();
    warmup.onConnected(settings.get().durationMillis(), now);
    if (warmup.isWarmingUp(now) && !warmup.maySend(sendsPerSecond(upstream, settings.get()), now)) {
      metrics.recordWarmup("held_back");
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "warmup: a request for %s is held back by router %s of %s",
          upstream.entry().id(), siteClient.position().number(), siteClient.position().routers());
      return false;
    }
    if (warmup.isWarmingUp(now)) {
      metrics.recordWarmup("sent");
    }
    warmup.onSend(now);
    return true;
  }

  /** Presumes that the upstreams of zones that are no longer evacuated have restarted meanwhile. */
  void onEvacuationChanged(
      EvacuatedZones before, EvacuatedZones after, Collection<Upstream> all, long now) {
    for (Upstream u : all) {
      String zone = u.entry().zone();
      if (before.contains(zone) && !after.contains(zone)) {
        settingsOfService
            .apply(u.entry().service())
            .ifPresent(s -> u.warmup().extend(s.durationMillis(), now));
      }
    }
  }
}
