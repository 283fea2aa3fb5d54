package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Serves one part of the HTTP API. The server uses the first endpoint that accepts a path. */
public interface Endpoint {

  /** Returns whether the path belongs to this endpoint. */
  boolean accepts(String path);

  /**
   * Answers a request. The server maps failures to error responses.
   *
   * @param callerDisconnected completes when the caller closes the connection
   */
  CompletionStage<HttpResponse> handle(
      HttpRequest request, CompletableFuture<Void> callerDisconnected);
}
