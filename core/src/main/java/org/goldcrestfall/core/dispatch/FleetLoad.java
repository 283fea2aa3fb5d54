package org.goldcrestfall.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * What other routers have told of their requests at upstreams. What a router has not repeated for
 * some time is forgotten, because it may have died. Not thread-safe.
 */
public final class FleetLoad {

  /** Routers repeat what they have told at least every second. */
  public static final long REPEAT_MILLIS = 1_000;

  private static final long REPORT_EXPIRY_MILLIS = 3 * REPEAT_MILLIS;

  /** One router's requests at one upstream. */
  public record Share(int running, long backlog) {}

  private record Report(Share share, long receivedMillis) {}

  private final Map<String, Map<String, Report>> byUpstream = new HashMap<>();

  /** Takes what a router tells of its requests at an upstream. */
  public void tell(String router, String upstream, Share share, long nowMillis) {
    Map<String, Report> told = byUpstream.computeIfAbsent(upstream, u -> new HashMap<>());
    if (share.running() == 0 && share.backlog() == 0) {
      told.remove(router);
    } else {
      told.put(router, new Report(share, nowMillis));
    }
  }

  /** Returns the sum over all routers at an upstream. */
  public Share sum(String upstream, long nowMillis) {
    Map<String, Report> told = byUpstream.get(upstream);
    if (told == null) {
      return new Share(0, 0);
    }
    told.values().removeIf(t -> nowMillis - t.receivedMillis() > REPORT_EXPIRY_MILLIS);
    int running = 0;
    long backlog = 0;
    for (Report t : told.values()) {
      running += t.share().running();
      backlog += t.share().backlog();
    }
    return new Share(running, backlog);
  }

  /** Forgets an upstream that has gone. */
  public void forget(String upstream) {
    byUpstream.remove(upstream);
  }
}
