package org.goldcrestfall.core.warmup;

import org.goldcrestfall.core.common.RendezvousHash;

/**
 * The place of a router among all routers. It decides which upstreams the router may send requests
 * to while they warm up. Answers the load of a zone that comes back with empty upstreams, which all
 * routers prefer at the same time.
 *
 * @param number the number of the router, from 0 on
 * @param routers the number of registered routers; 0 if this router is not registered
 */
public record RouterPosition(int number, int routers) {

  /** The position of a router that has not registered. */
  public static final RouterPosition NONE = new RouterPosition(0, 0);

  /**
   * 2^64 divided by the golden ratio. Multiples of it, modulo 2^64, are spread so evenly that each
   * range of that circle has almost its share of the routers.
   */
  private static final long GOLDEN_STEP = 0x9E3779B97F4A7C15L;

  private static final double CIRCLE = 0x1p64;

  /**
   * Returns the number of requests that this router may send in a second to an upstream that warms
   * up; 0 if others may.
   *
   * @param upstream identifies the incarnation of the upstream
   * @param requestsPerSecond what the upstream takes from all routers together
   */
  public int sendsPerSecond(String upstream, double requestsPerSecond) {
    if (routers == 0) {
      return 0;
    }
    if (requestsPerSecond >= routers) {
      return (int) Math.min(Integer.MAX_VALUE, requestsPerSecond / routers);
    }
    long distance = RendezvousHash.weight(upstream, "") + number * GOLDEN_STEP;
    double unsignedDistance = distance >= 0 ? distance : distance + CIRCLE;
    return unsignedDistance < requestsPerSecond / routers * CIRCLE ? 1 : 0;
  }

  /** Returns this position among at least as many routers as another one counts. */
  public RouterPosition merge(RouterPosition other) {
    return other.routers > routers ? other : this;
  }
}
