package org.goldcrestfall.daemon.filter;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Runs a request through filters in order; the last filter must answer it. */
public final class FilterChain {

  private final List<RequestFilter> filters;

  /** Creates a chain. */
  public FilterChain(List<RequestFilter> filters) {
    this.filters = List.copyOf(filters);
  }

  /** Runs the request through all filters. */
  public CompletionStage<HttpResponse> run(RequestContext c) {
    return apply(0, c);
  }

  private CompletionStage<HttpResponse> apply(int index, RequestContext c) {
    try {
      return filters.get(index).apply(c, d -> apply(index + 1, d));
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }
}
