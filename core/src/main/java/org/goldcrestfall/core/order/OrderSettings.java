package org.goldcrestfall.core.order;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times and rates of orders: the longest lease of a leader and the longest time from sending an
 * order to its execution, in milliseconds; the rate of the weight store in loads a minute with the
 * loads that may start at once; and the attempts of an order.
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
