package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;

/**
 * An open connection of the HTTP server. Each request has its own future for the disconnect, so
 * that a long-lived connection does not accumulate the callbacks of all its requests.
 */
final class CallerConnection {

  private CompletableFuture<Void> disconnect = new CompletableFuture<>();
  private boolean closed;

  /** Starts a request and returns a future that completes when the caller closes the connection. */
  synchronized CompletableFuture<Void> nextRequest() {
    if (!closed) {
      disconnect = new CompletableFuture<>();
    }
    return disconnect;
  }

  void markClosed() {
    CompletableFuture<Void> pending;
    synchronized (this) {
      closed = true;
      pending = disconnect;
    }
    pending.complete(null);
  }
}
