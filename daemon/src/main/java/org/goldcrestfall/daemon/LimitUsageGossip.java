package org.goldcrestfall.daemon;

import java.util.HashMap;
import java.util.Map;
import org.goldcrestfall.core.limit.ScopeUsage;
import org.goldcrestfall.daemon.peer.PeerService;

/**
 * Shares the usage of limits between routers by gossip, which carries an integer for each name.
 * Values are sent in thousandths.
 */
final class LimitUsageGossip {

  /** Name that every router publishes, so that peers can tell it from a plain control member. */
  static final String ROUTER_KEY = "role/router";

  private static final String RATE_PREFIX = "rate/";
  private static final String RUNNING_PREFIX = "running/";
  private static final int MILLI_PER_UNIT = 1_000;

  private LimitUsageGossip() {}

  /**
   * Publishes this router's usage by scope, and returns the usage that other routers have
   * published, by host and scope.
   */
  static Map<String, Map<String, ScopeUsage>> publishAndCollect(
      PeerService peers, Map<String, ScopeUsage> own) {
    peers.publishUsage(ROUTER_KEY, MILLI_PER_UNIT);
    Map<String, Map<String, ScopeUsage>> usageByHost = new HashMap<>();
    own.forEach(
        (scope, usage) -> {
          peers.publishUsage(
              RATE_PREFIX + scope, Math.round(usage.demandPerSecond() * MILLI_PER_UNIT));
          peers.publishUsage(RUNNING_PREFIX + scope, (long) usage.running() * MILLI_PER_UNIT);
          Map<String, Long> running = peers.milliRatesByHost(RUNNING_PREFIX + scope);
          peers
              .milliRatesByHost(RATE_PREFIX + scope)
              .forEach(
                  (host, rate) -> {
                    long runningCount = running.getOrDefault(host, 0L) / MILLI_PER_UNIT;
                    usageByHost
                        .computeIfAbsent(host, h -> new HashMap<>())
                        .put(
                            scope,
                            new ScopeUsage((double) rate / MILLI_PER_UNIT, (int) runningCount));
                  });
        });
    return usageByHost;
  }
}
