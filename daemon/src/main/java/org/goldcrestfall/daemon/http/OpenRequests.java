package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts open requests, so that a daemon can wait for the last one before it stops. */
public final class OpenRequests {

  private final AtomicInteger openCount = new AtomicInteger();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;

  /** Records the start of a request. */
  public void requestStarted() {
    openCount.incrementAndGet();
  }

  /** Records that the response to a request was passed on completely or has failed. */
  public void requestEnded() {
    if (openCount.decrementAndGet() == 0 && draining) {
      drained.complete(null);
    }
  }

  /** Returns the number of open requests. */
  public int count() {
    return openCount.get();
  }

  /** Returns whether the shutdown has begun. */
  public boolean isDraining() {
    return draining;
  }

  /** Marks the beginning of the shutdown. Requests are still accepted. */
  public void beginDraining() {
    draining = true;
  }

  /** Returns a future that completes when no request is open. Call after {@link #beginDraining}. */
  public CompletableFuture<Void> whenDrained() {
    if (openCount.get() == 0) {
      drained.complete(null);
    }
    return drained;
  }
}
