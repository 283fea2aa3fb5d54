package org.goldcrestfall.core.warmup;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What one router knows about the warm-up of one incarnation of an upstream, and when it sent
 * requests there. Not thread-safe.
 */
public final class UpstreamWarmup {

  /** A second, and what may pass between reading the clock and writing the request. */
  static final long WINDOW_MILLIS = 1_050;

  /** More sends than this in a window are not distinguished; no limit is as high. */
  private static final int MAX_RECORDED_SENDS = 64;

  private final Deque<Long> sentAtMillis = new ArrayDeque<>();
  private final long startedAtMillis;
  private long endMillis = Long.MIN_VALUE / 2;
  private boolean restartSuspected;

  /**
   * Creates an instance without sends.
   *
   * @param startedAtMillis the start of this process; an earlier process of the router may have
   *     sent requests until then
   */
  public UpstreamWarmup(long startedAtMillis) {
    this.startedAtMillis = startedAtMillis;
  }

  /** Records that the upstream warms up for at least this time from now on. */
  public void extend(long remainingMillis, long nowMillis) {
    endMillis = Math.max(endMillis, nowMillis + remainingMillis);
  }

  /** Records that no connection could be opened, so that the upstream may have restarted. */
  public void onConnectFailed() {
    restartSuspected = true;
  }

  /**
   * Records that a connection was opened.
   *
   * @param durationMillis how long the upstream warms up if it has restarted
   */
  public void onConnected(long durationMillis, long nowMillis) {
    if (restartSuspected) {
      restartSuspected = false;
      extend(durationMillis, nowMillis);
    }
  }

  /** Returns whether the upstream warms up, or may have restarted unseen. */
  public boolean isWarmingUp(long nowMillis) {
    return restartSuspected || nowMillis < endMillis;
  }

  /**
   * Returns whether the upstream may be chosen for a request. One that may have restarted unseen is
   * chosen by any router, because only a connection shows that it can be reached again.
   *
   * @param sendsPerSecond how many requests this router may send in a second during the warm-up
   */
  public boolean mayChoose(int sendsPerSecond, long nowMillis) {
    return restartSuspected || nowMillis >= endMillis || maySend(sendsPerSecond, nowMillis);
  }

  /**
   * Returns whether a request may be sent now during the warm-up.
   *
   * @param sendsPerSecond how many requests this router may send in a second
   */
  public boolean maySend(int sendsPerSecond, long nowMillis) {
    while (!sentAtMillis.isEmpty() && nowMillis - sentAtMillis.peekFirst() >= WINDOW_MILLIS) {
      sentAtMillis.removeFirst();
    }
    return sentAtMillis.size() < sendsPerSecond && nowMillis - startedAtMillis >= WINDOW_MILLIS;
  }

  /** Records that a request is sent. */
  public void onSend(long nowMillis) {
    if (sentAtMillis.size() == MAX_RECORDED_SENDS) {
      sentAtMillis.removeFirst();
    }
    sentAtMillis.addLast(nowMillis);
  }
}
