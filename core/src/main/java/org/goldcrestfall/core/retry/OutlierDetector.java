package org.goldcrestfall.core.retry;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects upstreams that fail repeatedly and ejects them for a time that doubles with each
 * ejection. At most a third of the pool is ejected at the same time, because a fault of the
 * router's own network looks like a fault of every upstream. Not thread-safe.
 */
public final class OutlierDetector {

  /** At most one upstream in this many is ejected at the same time. */
  private static final int POOL_SIZE_PER_EJECTION = 3;

  private static final class Upstream {
    final SlidingWindowCounter successes;
    final SlidingWindowCounter failures;
    int consecutiveFailures;
    int recentEjections;
    long ejectedUntilMillis = Long.MIN_VALUE;

    Upstream(long windowMillis) {
      successes = new SlidingWindowCounter(windowMillis);
      failures = new SlidingWindowCounter(windowMillis);
    }
  }

  private final OutlierSettings settings;
  private final Map<String, Upstream> upstreams = new HashMap<>();

  /** Creates a detector without ejected upstreams. */
  public OutlierDetector(OutlierSettings settings) {
    this.settings = settings;
  }

  /** Records a request that the upstream answered. */
  public void onSuccess(String upstream, long nowMillis) {
    Upstream u = upstream(upstream);
    u.consecutiveFailures = 0;
    u.successes.add(nowMillis);
    // After the maximum ejection time without an ejection, the next one lasts the base time again.
    if (u.recentEjections > 0 && nowMillis - u.ejectedUntilMillis > settings.maxEjectionMillis()) {
      u.recentEjections = 0;
    }
  }

  /** Records a connection error, a timeout, an interrupted stream or a 5xx response. */
  public void onFailure(String upstream, long nowMillis) {
    Upstream u = upstream(upstream);
    u.consecutiveFailures++;
    u.failures.add(nowMillis);
    if (nowMillis < u.ejectedUntilMillis) {
      return;
    }
    int failures = u.failures.sum(nowMillis);
    int total = failures + u.successes.sum(nowMillis);
    boolean failureShareReached =
        total >= settings.minRequests() && failures >= settings.failureShare() * total;
    if (u.consecutiveFailures >= settings.consecutiveFailures() || failureShareReached) {
      int shift = Math.min(u.recentEjections, 30);
      u.recentEjections++;
      u.ejectedUntilMillis =
          nowMillis
              + Math.min(settings.maxEjectionMillis(), settings.baseEjectionMillis() << shift);
      u.consecutiveFailures = 0;
      u.successes.clear();
      u.failures.clear();
    }
  }

  /**
   * Returns the upstreams of {@code pool} that must not be used now: at most a third of them,
   * preferring those with the longest remaining ejection.
   */
  public Set<String> ejected(Collection<String> pool, long nowMillis) {
    List<String> candidates =
        pool.stream()
            .distinct()
            .filter(
                n -> upstreams.containsKey(n) && nowMillis < upstreams.get(n).ejectedUntilMillis)
            .sorted(
                Comparator.comparingLong((String n) -> -upstreams.get(n).ejectedUntilMillis)
                    .thenComparing(Comparator.naturalOrder()))
            .toList();
    int max = (int) pool.stream().distinct().count() / POOL_SIZE_PER_EJECTION;
    return new LinkedHashSet<>(candidates.subList(0, Math.min(max, candidates.size())));
  }

  /** Removes the state of an upstream, such as one whose announcement has expired. */
  public void remove(String upstream) {
    upstreams.remove(upstream);
  }

  private Upstream upstream(String name) {
    return upstreams.computeIfAbsent(name, n -> new Upstream(settings.windowMillis()));
  }
}
