package org.goldcrestfall.core.limit;

import static com.google.common.base.Preconditions.checkState;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.goldcrestfall.core.common.ErrorKind;

/**
 * Enforces rate and concurrency limits approximately over all routers. Each router enforces a share
 * of the limit: an equal part of the floor, and a part of the rest in proportion to its own demand
 * and the demand that the other routers last published by gossip. Not thread-safe.
 *
 * <p>The limiter guarantees the following bounds for n routers, rate r, burst duration b, floor
 * share f and gossip delay d, which is the publication interval plus the propagation time:
 *
 * <ul>
 *   <li>Once the reports agree, the shares add up to 1, so at most r·t + r·b + n requests are
 *       admitted in any interval of length t.
 *   <li>While demand moves between routers, a share is outdated for at most d, which admits at most
 *       r·d more requests for each router whose share rose.
 *   <li>While a report is stale, a share is at most the borrow factor divided by n.
 *   <li>A network partition into g sides multiplies the rate by at most g.
 *   <li>Concurrency exceeds its limit c by at most f·c + n plus the capacity that was free before
 *       demand moved. While a report is stale, the total is at most the borrow factor times c, or n
 *       if that is more.
 * </ul>
 */
public final class FleetLimiter {

  private record Report(Map<String, ScopeUsage> usageByScope, long receivedAtMillis) {}

  private final String self;
  private final LimitSettings settings;
  private final Map<String, ScopeState> scopes = new HashMap<>();
  private final Map<String, Report> reports = new HashMap<>();
  private Set<String> routers;

  /** Creates a limiter for a router that knows no other router yet. */
  public FleetLimiter(String self, LimitSettings settings) {
    this.self = self;
    this.settings = settings;
    routers = Set.of(self);
  }

  /** Sets the live routers; this router is always included. */
  public void setRouters(Set<String> liveRouters) {
    Set<String> all = new HashSet<>(liveRouters);
    all.add(self);
    routers = Set.copyOf(all);
    reports.keySet().retainAll(routers);
  }

  /**
   * Admits a request if all limits allow it. A refused request is charged to none of them but
   * counts as demand.
   *
   * @return empty if the request is admitted, otherwise RATE_LIMITED or CONCURRENCY_LIMITED
   */
  public Optional<ErrorKind> tryAcquire(List<Limit> limits, long nowMillis) {
    ErrorKind refusal = null;
    for (Limit l : limits) {
      ScopeState s = scope(l.scope(), nowMillis);
      s.addDemand(nowMillis);
      double share = share(l.scope(), s, nowMillis);
      if (l.requestsPerSecond() > 0) {
        double rate = l.requestsPerSecond() * share;
        double capacity = Math.max(1, rate * settings.burstMillis() / 1000);
        if (!s.refill(rate, capacity, nowMillis) && refusal == null) {
          refusal = ErrorKind.RATE_LIMITED;
        }
      }
      if (refusal == null && !concurrencyAllows(l, s, share, nowMillis)) {
        refusal = ErrorKind.CONCURRENCY_LIMITED;
      }
    }
    if (refusal != null) {
      return Optional.of(refusal);
    }
    for (Limit l : limits) {
      ScopeState s = scopes.get(l.scope());
      s.running++;
      if (l.requestsPerSecond() > 0) {
        s.takeToken();
      }
    }
    return Optional.empty();
  }

  /** Records the end of a request that was admitted under {@code limits}. */
  public void release(List<Limit> limits) {
    for (Limit l : limits) {
      ScopeState s = scopes.get(l.scope());
      checkState(s != null && s.running > 0, "no request of %s is running", l.scope());
      s.running--;
    }
  }

  /** Returns the usage of each active scope on this router, to be published by gossip. */
  public Map<String, ScopeUsage> nextUsageReport(long nowMillis) {
    scopes.values().removeIf(s -> s.idle(nowMillis));
    Map<String, ScopeUsage> usageByScope = new HashMap<>();
    scopes.forEach(
        (name, s) -> {
          s.publishedDemandPerSecond = s.demandPerSecond(nowMillis);
          s.onPublish();
          usageByScope.put(name, new ScopeUsage(s.publishedDemandPerSecond, s.running));
        });
    return usageByScope;
  }

  /**
   * Replaces the usage last reported by another router; a report of this router or of one that is
   * not live is ignored.
   */
  public void onReport(String router, Map<String, ScopeUsage> usageByScope, long nowMillis) {
    if (routers.contains(router) && !router.equals(self)) {
      reports.put(router, new Report(Map.copyOf(usageByScope), nowMillis));
    }
  }

  private double share(String name, ScopeState scope, long nowMillis) {
    int n = routers.size();
    // The current demand counts before it is published; otherwise requests of a caller that moved
    // to this router would be refused until the other routers have received its report.
    double own = Math.max(scope.publishedDemandPerSecond, scope.demandPerSecond(nowMillis));
    double total = own;
    for (Report r : reports.values()) {
      ScopeUsage usage = r.usageByScope.get(name);
      total += usage == null ? 0 : usage.demandPerSecond();
    }
    double demandShare = total > 0 ? own / total : 1.0 / n;
    double share = settings.floorShare() / n + (1 - settings.floorShare()) * demandShare;
    return countFreshRouters(nowMillis) == n
        ? share
        : Math.min(share, settings.staleBorrowFactor() / n);
  }

  private boolean concurrencyAllows(Limit limit, ScopeState scope, double share, long nowMillis) {
    long max = limit.concurrentRequests();
    if (max == 0) {
      return true;
    }
    if (scope.running < Math.floor(max * settings.floorShare() / routers.size())) {
      return true;
    }
    long runningOnPeers = 0;
    for (Report r : reports.values()) {
      ScopeUsage usage = r.usageByScope.get(limit.scope());
      runningOnPeers += usage == null ? 0 : usage.running();
    }
    if (runningOnPeers + scope.running >= max) {
      return false;
    }
    if (countFreshRouters(nowMillis) < routers.size()) {
      double cap = settings.staleBorrowFactor() * max / routers.size();
      return scope.running < Math.max(1, Math.floor(cap));
    }
    // A report takes up to one publication interval to reach the peers, so they may not know of
    // requests started since the publication before the last. The number of these requests is
    // limited to this router's share of the capacity that was free at that time.
    double free = max - runningOnPeers - scope.runningKnownToPeers();
    return scope.running - scope.runningKnownToPeers() < Math.max(1, free * share);
  }

  /** Counts the routers whose usage is known and not stale, this router included. */
  private int countFreshRouters(long nowMillis) {
    int count = 1;
    for (Report r : reports.values()) {
      count += nowMillis - r.receivedAtMillis <= settings.maxReportAgeMillis() ? 1 : 0;
    }
    return count;
  }

  private ScopeState scope(String name, long nowMillis) {
    return scopes.computeIfAbsent(
        name, n -> new ScopeState(settings.demandTimeConstantMillis(), nowMillis));
  }
}
