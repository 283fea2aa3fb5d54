package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;

/** An open connection of the HTTP server. */
public final class CallerConnection {

  private final CompletableFuture<Void> closed = new CompletableFuture<>();

  /** Completes when the peer has closed the connection. */
  public CompletableFuture<Void> closed() {
    return closed;
  }

  void markClosed() {
    closed.complete(null);
  }
}
