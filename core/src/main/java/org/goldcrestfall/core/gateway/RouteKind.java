package org.goldcrestfall.core.gateway;

/** The kind of a route's requests, which determines whether they may be sent again. */
public enum RouteKind {
  /** The request is idempotent and may run any number of times. */
  SAFE,
  /** The request runs at most once for each attempt of the caller. */
  UNSAFE,
  /**
   * The answer is a stream of events. The request is treated as {@link #UNSAFE} unless the route is
   * resumable.
   */
  STREAMING
}
