package org.goldcrestfall.core.dispatch;

/**
 * The requests of one router at one upstream, or the sum over several routers.
 *
 * @param running number of requests
 * @param backlog uncached prompt tokens of the requests whose answer has not begun
 */
public record RequestLoad(int running, long backlog) {

  /** No requests. */
  public static final RequestLoad NONE = new RequestLoad(0, 0);

  /** Returns the sum of this load and another one. */
  public RequestLoad plus(RequestLoad other) {
    return new RequestLoad(running + other.running, backlog + other.backlog);
  }

  /** Returns this load without another one that is part of it. */
  public RequestLoad minus(RequestLoad part) {
    return new RequestLoad(running - part.running, backlog - part.backlog);
  }

  boolean isNone() {
    return running == 0 && backlog == 0;
  }
}
