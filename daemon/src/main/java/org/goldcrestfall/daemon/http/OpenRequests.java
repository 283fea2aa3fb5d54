package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Counts open requests, so that a daemon can wait for the last one before it stops. */
public final class OpenRequests {

  private final AtomicInteger openCount = new AtomicInteger();

  /** Completes when the last request has ended; null until someone waits for that. */
  private final AtomicReference<CompletableFuture<Void>> drained = new AtomicReference<>();

  private volatile boolean draining;

  /** Records the start of a request. */
  public void requestStarted() {
    openCount.incrementAndGet();
  }

  /** Records that the response to a request was passed on completely or has failed. */
  public void requestEnded() {
    CompletableFuture<Void> waiting = drained.get();
    if (openCount.decrementAndGet() == 0 && waiting != null) {
      waiting.complete(null);
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

  /**
   * Returns a future that completes when no request is open. Call after the server has stopped to
   * accept connections: requests that end before this call do not complete the future.
   */
  public CompletableFuture<Void> whenDrained() {
    CompletableFuture<Void> waiting = new CompletableFuture<>();
    drained.set(waiting);
    if (openCount.get() == 0) {
      waiting.complete(null);
    }
    return waiting;
  }
}
