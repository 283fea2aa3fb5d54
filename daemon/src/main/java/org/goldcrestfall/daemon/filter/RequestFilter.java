package org.goldcrestfall.daemon.filter;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** One step in the processing of a caller's request. */
public interface RequestFilter {

  /**
   * Answers the request or passes it to the next filter. A refusal is a {@code RequestFailure} that
   * is thrown or fails the future.
   */
  CompletionStage<HttpResponse> apply(RequestContext c, Next next);

  /** The remaining filters of the chain. */
  @FunctionalInterface
  interface Next {

    /** Passes the request to the next filter. */
    CompletionStage<HttpResponse> proceed(RequestContext c);
  }
}
