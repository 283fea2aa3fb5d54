package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** One part of the HTTP API. The server asks its endpoints in order. */
public interface Endpoint {

  /** Returns whether the path belongs to this endpoint. */
  boolean accepts(String path);

  /**
   * Answers a request. A failure is mapped to an answer by the server.
   *
   * @param callerGone completes when the caller closes the connection
   */
  CompletionStage<HttpResponse> handle(HttpRequest request, CompletableFuture<Void> callerGone);
}
