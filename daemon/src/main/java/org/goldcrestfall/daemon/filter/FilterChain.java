package org.goldcrestfall.daemon.filter;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Runs a request through filters in order; the last filter answers. */
public final class FilterChain {

  private final List<RequestFilter> filters;

  /** Creates a chain. */
  public FilterChain(List<RequestFilter> filters) {
    this.filters = List.copyOf(filters);
  }

  /** Runs the request through all filters. */
  public CompletionStage<HttpResponse> run(RequestContext c) {
    return step(0, c);
  }

  private CompletionStage<HttpResponse> step(int i, RequestContext c) {
    try {
      return filters.get(i).apply(c, d -> step(i + 1, d));
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }
}
