package org.goldcrestfall.daemon;

import java.util.HashMap;
import java.util.Map;
import org.goldcrestfall.core.limit.Use;
import org.goldcrestfall.daemon.peer.PeerService;

/** Carries the use of limits in gossip, where a number is published for a name. */
final class UsageCodec {

  /** Published by every router, so that others can tell routers from plain control members. */
  static final String ROUTER = "role/router";

  private static final String RATE = "rate/";
  private static final String RUNNING = "running/";
  private static final int MILLI = 1_000;

  private UsageCodec() {}

  /** Publishes this router's use and returns what the others have published, by router. */
  static Map<String, Map<String, Use>> reports(PeerService peers, Map<String, Use> own) {
    peers.publishUsage(ROUTER, MILLI);
    Map<String, Map<String, Use>> out = new HashMap<>();
    own.forEach(
        (scope, use) -> {
          peers.publishUsage(RATE + scope, Math.round(use.demandPerSecond() * MILLI));
          peers.publishUsage(RUNNING + scope, (long) use.running() * MILLI);
          Map<String, Long> running = peers.usageOf(RUNNING + scope);
          peers
              .usageOf(RATE + scope)
              .forEach(
                  (host, rate) -> {
                    long n = running.getOrDefault(host, 0L) / MILLI;
                    out.computeIfAbsent(host, h -> new HashMap<>())
                        .put(scope, new Use((double) rate / MILLI, (int) n));
                  });
        });
    return out;
  }
}
