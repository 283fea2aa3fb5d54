package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts open requests, so that a draining daemon can wait for the last one. */
public final class OpenRequests {

  private final AtomicInteger open = new AtomicInteger();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;

  /** Notes a request whose answer has not been sent completely. */
  public void enter() {
    open.incrementAndGet();
  }

  /** Notes the end of an answer. */
  public void exit() {
    if (open.decrementAndGet() == 0 && draining) {
      drained.complete(null);
    }
  }

  /** Returns the number of open requests. */
  public int count() {
    return open.get();
  }

  /** Returns whether shutdown has begun. */
  public boolean isDraining() {
    return draining;
  }

  /** Marks the beginning of the shutdown, without refusing anything. */
  public void beginDraining() {
    draining = true;
  }

  /** Completes once no request is open. Call after {@link #beginDraining}. */
  public CompletableFuture<Void> whenDrained() {
    if (open.get() == 0) {
      drained.complete(null);
    }
    return drained;
  }
}
