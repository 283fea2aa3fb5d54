package org.goldcrestfall.daemon.filter;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** One step of the way of a caller's request. */
public interface RequestFilter {

  /**
   * Answers the request, or passes it on. A refusal is a failed future or a thrown {@code
   * RequestFailure}.
   */
  CompletionStage<HttpResponse> apply(RequestContext c, Next next);

  /** The rest of the chain. */
  @FunctionalInterface
  interface Next {

    /** Passes the request on. */
    CompletionStage<HttpResponse> proceed(RequestContext c);
  }
}
