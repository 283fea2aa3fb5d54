package org.goldcrestfall.daemon.filter;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.ExecutionState;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.Booking;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.http.HttpResponses;
import org.goldcrestfall.daemon.http.Json;

/**
 * Prevents a retried booking from being reported as not run although an earlier attempt ran. Later
 * filters refuse a request as not run, for example because of a limit or an empty budget, without
 * knowing of earlier attempts under the caller's id. Before such a refusal is returned, this filter
 * reads the booking record, and answers from it if there is one.
 */
public final class BookingRecordFilter implements RequestFilter {

  private final ControlService control;

  /** Creates the filter. */
  public BookingRecordFilter(ControlService control) {
    this.control = control;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    if (c.isChat() || !c.isIdFromCaller() || c.serviceCall().isIdempotent()) {
      return next.proceed(c);
    }
    CompletionStage<HttpResponse> response;
    try {
      response = next.proceed(c);
    } catch (RequestFailure f) {
      response = CompletableFuture.failedFuture(f);
    }
    return response
        .handle((r, e) -> e == null ? CompletableFuture.completedStage(r) : onFailure(c, e))
        .thenCompose(f -> f);
  }

  private CompletionStage<HttpResponse> onFailure(RequestContext c, Throwable e) {
    RequestFailure f = HttpResponses.toFailure(e);
    if (f.kind().executionState() != ExecutionState.NOT_RUN || c.isBookingRecordRead()) {
      return CompletableFuture.failedFuture(f);
    }
    return control
        .query(new ControlQuery.BookingOf(c.workspace().name(), c.requestId()))
        .handle((n, error) -> error == null ? answerFromRecord(c, n, f) : throwUndecided(f));
  }

  private static HttpResponse answerFromRecord(
      RequestContext c, JsonNode records, RequestFailure f) {
    if (records.isEmpty()) {
      throw f;
    }
    Booking b = Json.convert(records.get(0), Booking.class);
    if (b.bodyHash() != null && !b.bodyHash().equals(c.bodyHash())) {
      throw new RequestFailure(
          ErrorKind.REQUEST_ID_REUSED, "The request id was used with another body.");
    }
    return BookingFilter.replay(c, b);
  }

  private static HttpResponse throwUndecided(RequestFailure f) {
    throw new RequestFailure(
        ErrorKind.BOOKING_UNDECIDED,
        f.getMessage() + " An earlier attempt under the same id may have been run.");
  }
}
