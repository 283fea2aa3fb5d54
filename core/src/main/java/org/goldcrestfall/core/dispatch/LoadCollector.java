package org.goldcrestfall.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load of a whole fleet as one daemon knows it. In large fleets, each router reports to one
 * control daemon, and control daemons pass the sums of their routers to each other, so the number
 * of messages grows with the number of routers and not with its square. A report that is not
 * repeated expires, because its sender may have failed. Not thread-safe.
 */
public final class LoadCollector {

  /** Longest interval at which routers and control daemons repeat their reports. */
  public static final long REPORT_INTERVAL_MILLIS = 500;

  /** Age at which a report that was not repeated expires. */
  static final long REPORT_EXPIRY_MILLIS = 3 * REPORT_INTERVAL_MILLIS;

  /** Number of prompt parts that are kept for routers that have not received them yet. */
  static final int MAX_KEPT_PARTS = 4_000;

  /** Maximum number of prompt parts in one reply; the others follow in the next replies. */
  static final int MAX_PARTS_PER_REPLY = 400;

  /**
   * Prompt parts for a router.
   *
   * @param lastNumber the number after which the next reply continues
   */
  public record PartsUpdate(List<CachedPart> parts, long lastNumber) {}

  private record Report(Map<String, RequestLoad> shares, long receivedAtMillis) {}

  private record KeptPart(CachedPart part, String router) {}

  private final Map<String, Report> routerReports = new HashMap<>();
  private final Map<String, Report> controlReports = new HashMap<>();
  private final Map<String, RequestLoad> routerSums = new HashMap<>();
  private final Map<String, RequestLoad> allSums = new HashMap<>();
  private final Deque<KeptPart> keptParts = new ArrayDeque<>();
  private final List<CachedPart> unpublishedParts = new ArrayList<>();
  private long lastPartNumber;

  /** Replaces the load of a router that reports here. */
  public void updateRouter(
      String router, Map<String, RequestLoad> shares, List<CachedPart> parts, long nowMillis) {
    Report before = routerReports.put(router, new Report(shares, nowMillis));
    replace(routerSums, before, shares);
    replace(allSums, before, shares);
    for (CachedPart p : parts) {
      keep(new KeptPart(p, router));
      unpublishedParts.add(p);
    }
  }

  /** Replaces the load of the routers that report to another control daemon. */
  public void updateControl(
      String control, Map<String, RequestLoad> shares, List<CachedPart> parts, long nowMillis) {
    Report before = controlReports.put(control, new Report(shares, nowMillis));
    replace(allSums, before, shares);
    parts.forEach(p -> keep(new KeptPart(p, "")));
  }

  private static void replace(
      Map<String, RequestLoad> sums, Report before, Map<String, RequestLoad> shares) {
    if (before != null) {
      before.shares().forEach((upstream, load) -> subtract(sums, upstream, load));
    }
    shares.forEach((upstream, load) -> sums.merge(upstream, load, RequestLoad::plus));
  }

  private static void subtract(Map<String, RequestLoad> sums, String upstream, RequestLoad load) {
    sums.computeIfPresent(
        upstream,
        (u, sum) -> {
          RequestLoad rest = sum.minus(load);
          return rest.isNone() ? null : rest;
        });
  }

  private void keep(KeptPart part) {
    lastPartNumber++;
    keptParts.add(part);
    if (keptParts.size() > MAX_KEPT_PARTS) {
      keptParts.remove();
    }
  }

  /** Removes the reports that were not repeated in time. */
  public void expire(long nowMillis) {
    routerReports.values().removeIf(r -> isExpired(r, nowMillis, true));
    controlReports.values().removeIf(r -> isExpired(r, nowMillis, false));
  }

  private boolean isExpired(Report report, long nowMillis, boolean ofRouter) {
    if (nowMillis - report.receivedAtMillis() <= REPORT_EXPIRY_MILLIS) {
      return false;
    }
    if (ofRouter) {
      replace(routerSums, report, Map.of());
    }
    replace(allSums, report, Map.of());
    return true;
  }

  /** Returns the load that all routers except {@code router} put on each upstream. */
  public Map<String, RequestLoad> loadOfOthers(String router) {
    Map<String, RequestLoad> others = new HashMap<>(allSums);
    Report own = routerReports.get(router);
    if (own != null) {
      own.shares().forEach((upstream, load) -> subtract(others, upstream, load));
    }
    return others;
  }

  /** Returns the number of routers that report here. */
  public int routerCount() {
    return routerReports.size();
  }

  /** Returns the load that the routers that report here put on each upstream. */
  public Map<String, RequestLoad> routerSums() {
    return routerSums;
  }

  /** Returns the parts that routers have reported here since the last call. */
  public List<CachedPart> takeUnpublishedParts() {
    List<CachedPart> taken = List.copyOf(unpublishedParts);
    unpublishedParts.clear();
    return taken;
  }

  /** Returns parts that other routers have sent, from the one after {@code number} on. */
  public PartsUpdate partsAfter(long number, String router) {
    long firstNumber = lastPartNumber - keptParts.size() + 1;
    long next = Math.max(number + 1, firstNumber);
    List<CachedPart> parts = new ArrayList<>();
    if (next > lastPartNumber) {
      return new PartsUpdate(parts, lastPartNumber);
    }
    long skipped = next - firstNumber;
    for (KeptPart kept : keptParts) {
      if (skipped-- > 0) {
        continue;
      }
      if (parts.size() == MAX_PARTS_PER_REPLY) {
        break;
      }
      if (!kept.router().equals(router)) {
        parts.add(kept.part());
      }
      next++;
    }
    return new PartsUpdate(parts, next - 1);
  }
}
