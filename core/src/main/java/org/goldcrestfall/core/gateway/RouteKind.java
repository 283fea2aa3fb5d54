package org.goldcrestfall.core.gateway;

/** What a route's requests are, which decides whether they may be repeated. */
public enum RouteKind {
  /** Idempotent: may run any number of times. */
  SAFE,
  /** Runs at most once for each attempt of a caller. */
  UNSAFE,
  /** Answered by a stream of events; treated as {@link #UNSAFE} unless the route is resumable. */
  STREAMING
}
