package org.goldcrestfall.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that other routers report to have at upstreams. A report that its router does not
 * repeat expires, because the router may have failed. Not thread-safe.
 */
public final class PeerLoad {

  /** Interval at which routers repeat their reports. */
  public static final long REPORT_INTERVAL_MILLIS = 1_000;

  /** Age at which a report that was not repeated expires. */
  private static final long REPORT_EXPIRY_MILLIS = 3 * REPORT_INTERVAL_MILLIS;

  /**
   * The requests of one router at one upstream, or the sum over several routers.
   *
   * @param running number of requests
   * @param backlog prompt tokens of those that have no answer yet
   */
  public record RequestLoad(int running, long backlog) {}

  private record Report(RequestLoad share, long receivedMillis) {}

  private final Map<String, Map<String, Report>> byUpstream = new HashMap<>();

  /** Stores what a router reports of its requests at an upstream; a report of none removes it. */
  public void update(String router, String upstream, RequestLoad share, long nowMillis) {
    Map<String, Report> reports = byUpstream.computeIfAbsent(upstream, u -> new HashMap<>());
    if (share.running() == 0 && share.backlog() == 0) {
      reports.remove(router);
    } else {
      reports.put(router, new Report(share, nowMillis));
    }
  }

  /** Returns the sum of the reports of all routers on an upstream. */
  public RequestLoad total(String upstream, long nowMillis) {
    Map<String, Report> reports = byUpstream.get(upstream);
    if (reports == null) {
      return new RequestLoad(0, 0);
    }
    reports.values().removeIf(r -> nowMillis - r.receivedMillis() > REPORT_EXPIRY_MILLIS);
    int running = 0;
    long backlog = 0;
    for (Report r : reports.values()) {
      running += r.share().running();
      backlog += r.share().backlog();
    }
    return new RequestLoad(running, backlog);
  }

  /** Removes the reports on an upstream that has left. */
  public void remove(String upstream) {
    byUpstream.remove(upstream);
  }
}
