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
 * Holds rate and concurrency limits over all routers in approximation. Each router enforces a share
 * of the limit: a floor that is divided equally, and the rest in proportion to its own demand and
 * the demand that the other routers last published by gossip.
 *
 * <p>Bound, for n routers, rate r, burst b, floor f and gossip delay d (publication interval plus
 * spreading): once the reports agree, the shares add up to 1, so at most r·t + r·b + n requests
 * pass in any time t. While demand moves between routers, a share is wrong for at most d, which
 * adds at most r·d for each router whose share rose. While a report is stale, a share is at most
 * the borrow factor over n. A partition into g sides multiplies the rate by at most g. Concurrency
 * exceeds its limit c by at most f·c + n plus what was free before demand moved; while a report is
 * stale, the sum is at most the borrow factor times c, or n if that is more. Not thread-safe.
 */
public final class FleetLimiter {

  private record Report(Map<String, Use> uses, long atMillis) {}

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

  /** Sets the live routers; this router is always one of them. */
  public void setRouters(Set<String> live) {
    Set<String> all = new HashSet<>(live);
    all.add(self);
    routers = Set.copyOf(all);
    reports.keySet().retainAll(routers);
  }

  /**
   * Admits a request under all limits or none.
   *
   * @return empty if admitted, RATE_LIMITED or CONCURRENCY_LIMITED otherwise
   */
  public Optional<ErrorKind> tryAcquire(List<Limit> limits, long nowMillis) {
    ErrorKind refusal = null;
    for (Limit l : limits) {
      ScopeState s = scope(l.scope(), nowMillis);
      s.addDemand(nowMillis);
      double share = share(l.scope(), s, nowMillis);
      if (l.requestsPerSecond() > 0) {
        double rate = l.requestsPerSecond() * share;
        double depth = Math.max(1, rate * settings.burstMillis() / 1000);
        if (!s.refill(rate, depth, nowMillis) && refusal == null) {
          refusal = ErrorKind.RATE_LIMITED;
        }
      }
      if (refusal == null && !mayRun(l, s, share, nowMillis)) {
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

  /** Returns the use to gossip. */
  public Map<String, Use> publish(long nowMillis) {
    scopes.values().removeIf(s -> s.idle(nowMillis));
    Map<String, Use> uses = new HashMap<>();
    scopes.forEach(
        (name, s) -> {
          s.publishedDemand = s.demandPerSecond(nowMillis);
          s.onPublish();
          uses.put(name, new Use(s.publishedDemand, s.running));
        });
    return uses;
  }

  /** Applies the last published use of another live router. */
  public void onReport(String router, Map<String, Use> uses, long nowMillis) {
    if (routers.contains(router) && !router.equals(self)) {
      reports.put(router, new Report(Map.copyOf(uses), nowMillis));
    }
  }

  private double share(String name, ScopeState scope, long nowMillis) {
    int n = routers.size();
    // The current demand counts at once, or a caller that moved here would be refused until gossip
    // has spread.
    double own = Math.max(scope.publishedDemand, scope.demandPerSecond(nowMillis));
    double total = own;
    for (Report r : reports.values()) {
      Use use = r.uses.get(name);
      total += use == null ? 0 : use.demandPerSecond();
    }
    double part = total > 0 ? own / total : 1.0 / n;
    double share = settings.floorShare() / n + (1 - settings.floorShare()) * part;
    return fresh(nowMillis) == n ? share : Math.min(share, settings.staleBorrowFactor() / n);
  }

  private boolean mayRun(Limit limit, ScopeState scope, double share, long nowMillis) {
    long max = limit.concurrentRequests();
    if (max == 0) {
      return true;
    }
    if (scope.running < Math.floor(max * settings.floorShare() / routers.size())) {
      return true;
    }
    long peers = 0;
    for (Report r : reports.values()) {
      Use use = r.uses.get(limit.scope());
      peers += use == null ? 0 : use.running();
    }
    if (peers + scope.running >= max) {
      return false;
    }
    if (fresh(nowMillis) < routers.size()) {
      double part = settings.staleBorrowFactor() * max / routers.size();
      return scope.running < Math.max(1, Math.floor(part));
    }
    // A publication needs up to one interval to reach the peers, so the growth since the one before
    // the last is unknown to them. It is limited to a share of what was free then.
    double free = max - peers - scope.knownToPeers();
    return scope.running - scope.knownToPeers() < Math.max(1, free * share);
  }

  private int fresh(long nowMillis) {
    int count = 1;
    for (Report r : reports.values()) {
      count += nowMillis - r.atMillis <= settings.staleMillis() ? 1 : 0;
    }
    return count;
  }

  private ScopeState scope(String name, long nowMillis) {
    return scopes.computeIfAbsent(name, n -> new ScopeState(settings.demandMillis(), nowMillis));
  }
}
