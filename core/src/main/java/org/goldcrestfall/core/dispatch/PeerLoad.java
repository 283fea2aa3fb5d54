package org.goldcrestfall.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The load that the requests of other routers put on each upstream, as those routers report it. A
 * report that its router does not repeat expires, because the router may have failed. Not
 * thread-safe.
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
   * @param backlog uncached prompt tokens of the requests whose answer has not begun
   */
  public record RequestLoad(int running, long backlog) {}

  private record Report(RequestLoad load, long receivedAtMillis) {}

  private final Map<String, Map<String, Report>> byUpstream = new HashMap<>();

  /** Stores the load that a router reports for an upstream; a load of 0 removes the report. */
  public void update(String router, String upstream, RequestLoad load, long nowMillis) {
    Map<String, Report> reports = byUpstream.computeIfAbsent(upstream, u -> new HashMap<>());
    if (load.running() == 0 && load.backlog() == 0) {
      reports.remove(router);
    } else {
      reports.put(router, new Report(load, nowMillis));
    }
  }

  /** Returns the sum of the reports of all routers on an upstream. */
  public RequestLoad total(String upstream, long nowMillis) {
    Map<String, Report> reports = byUpstream.get(upstream);
    if (reports == null) {
      return new RequestLoad(0, 0);
    }
    reports.values().removeIf(r -> nowMillis - r.receivedAtMillis() > REPORT_EXPIRY_MILLIS);
    int running = 0;
    long backlog = 0;
    for (Report r : reports.values()) {
      running += r.load().running();
      backlog += r.load().backlog();
    }
    return new RequestLoad(running, backlog);
  }

  /** Removes the reports on an upstream that has left. */
  public void remove(String upstream) {
    byUpstream.remove(upstream);
  }
}
