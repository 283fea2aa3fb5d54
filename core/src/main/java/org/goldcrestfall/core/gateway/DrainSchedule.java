package org.goldcrestfall.core.gateway;

/**
 * The times of a router's planned stop, in milliseconds of one clock. While the load balancer still
 * selects the router, it serves every request. After that it serves only a request whose time limit
 * ends before the router does, because a longer one could be cut off.
 *
 * @param removedAtMillis the time from which on the load balancer no longer selects the router if
 *     another one is ready
 * @param endMillis the time at which requests that are still open are ended
 */
public record DrainSchedule(long removedAtMillis, long endMillis) {

  /**
   * Returns whether a request is served.
   *
   * @param nowMillis the time at which the request was read
   * @param limitMillis the time in which the request ends, with or without a response
   */
  public boolean admits(long nowMillis, long limitMillis) {
    return nowMillis < removedAtMillis || limitMillis <= endMillis - nowMillis;
  }
}
