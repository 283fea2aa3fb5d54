package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;

/**
 * An open connection of the HTTP server. Each request has its own future for the caller's leaving,
 * so that a long-lived connection does not collect the callbacks of all its requests.
 */
final class CallerConnection {

  private CompletableFuture<Void> current = new CompletableFuture<>();
  private boolean closed;

  /** Begins a request and returns what completes when the caller closes the connection. */
  synchronized CompletableFuture<Void> nextRequest() {
    if (!closed) {
      current = new CompletableFuture<>();
    }
    return current;
  }

  void markClosed() {
    CompletableFuture<Void> last;
    synchronized (this) {
      closed = true;
      last = current;
    }
    last.complete(null);
  }
}
