package org.goldcrestfall.core.retry;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Ejects upstreams that fail repeatedly, for a time that doubles with each ejection. At most a
 * third of the pool is ejected at the same time, because a fault of the router's own network looks
 * like a fault of every upstream. Not thread-safe.
 */
public final class OutlierDetector {

  private static final int POOL_SHARE = 3;

  private static final class Upstream {
    final WindowCounter successes;
    final WindowCounter failures;
    int consecutive;
    int ejections;
    long ejectedUntil = Long.MIN_VALUE;

    Upstream(long windowMillis) {
      successes = new WindowCounter(windowMillis);
      failures = new WindowCounter(windowMillis);
    }
  }

  private final OutlierSettings settings;
  private final Map<String, Upstream> upstreams = new HashMap<>();

  /** Creates a detector that has ejected nothing. */
  public OutlierDetector(OutlierSettings settings) {
    this.settings = settings;
  }

  /** Records a request that the upstream answered. */
  public void onSuccess(String upstream, long nowMillis) {
    Upstream u = upstream(upstream);
    u.consecutive = 0;
    u.successes.add(nowMillis);
    // A whole maximum ejection time without ejection clears the history.
    if (u.ejections > 0 && nowMillis - u.ejectedUntil > settings.maxEjectionMillis()) {
      u.ejections = 0;
    }
  }

  /** Records a connection error, a timeout, a broken stream or a 5xx answer. */
  public void onFailure(String upstream, long nowMillis) {
    Upstream u = upstream(upstream);
    u.consecutive++;
    u.failures.add(nowMillis);
    if (nowMillis < u.ejectedUntil) {
      return;
    }
    int failures = u.failures.sum(nowMillis);
    int total = failures + u.successes.sum(nowMillis);
    boolean share = total >= settings.minRequests() && failures >= settings.failureShare() * total;
    if (u.consecutive >= settings.consecutiveFailures() || share) {
      int shift = Math.min(u.ejections, 30);
      u.ejections++;
      u.ejectedUntil =
          nowMillis
              + Math.min(settings.maxEjectionMillis(), settings.baseEjectionMillis() << shift);
      u.consecutive = 0;
      u.successes.clear();
      u.failures.clear();
    }
  }

  /**
   * Returns the upstreams of {@code pool} that must not be used now: at most a third, those with
   * the longest remaining ejection first.
   */
  public Set<String> ejected(Collection<String> pool, long nowMillis) {
    List<String> candidates =
        pool.stream()
            .distinct()
            .filter(n -> upstreams.containsKey(n) && nowMillis < upstreams.get(n).ejectedUntil)
            .sorted(
                Comparator.comparingLong((String n) -> -upstreams.get(n).ejectedUntil)
                    .thenComparing(Comparator.naturalOrder()))
            .toList();
    int max = (int) pool.stream().distinct().count() / POOL_SHARE;
    return new LinkedHashSet<>(candidates.subList(0, Math.min(max, candidates.size())));
  }

  /** Forgets an upstream that expired. */
  public void remove(String upstream) {
    upstreams.remove(upstream);
  }

  private Upstream upstream(String name) {
    return upstreams.computeIfAbsent(name, n -> new Upstream(settings.windowMillis()));
  }
}
