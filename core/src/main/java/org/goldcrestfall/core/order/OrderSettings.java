package org.goldcrestfall.core.order;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timeouts and rates of orders to engines.
 *
 * @param leaseMillis longest lease of a leader
 * @param orderTimeoutMillis longest time from sending an order to its execution
 * @param loadsPerMinute average rate of loads from the weight store
 * @param loadBurst number of loads that may start at once
 * @param attempts number of attempts to send an order before it fails
 */
public record OrderSettings(
    long leaseMillis, long orderTimeoutMillis, long loadsPerMinute, long loadBurst, int attempts) {

  /** Checks the arguments. */
  public OrderSettings {
    checkArgument(leaseMillis > 0, "leaseMillis must be positive: %s", leaseMillis);
    checkArgument(
        orderTimeoutMillis > 0, "orderTimeoutMillis must be positive: %s", orderTimeoutMillis);
    checkArgument(loadsPerMinute > 0, "loadsPerMinute must be positive: %s", loadsPerMinute);
    checkArgument(loadBurst > 0, "loadBurst must be positive: %s", loadBurst);
    checkArgument(attempts > 0, "attempts must be positive: %s", attempts);
  }
}
