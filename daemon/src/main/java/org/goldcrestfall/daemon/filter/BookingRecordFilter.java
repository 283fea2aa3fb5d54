package org.goldcrestfall.daemon.filter;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.common.RunState;
import org.goldcrestfall.core.control.Booking;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.http.Answers;
import org.goldcrestfall.daemon.http.Json;

/**
 * Keeps refusals of retried bookings true. A limit or an empty budget refuses a request as not run,
 * but an earlier attempt under the caller's id may have run; so the record is read before such a
 * refusal, and answers instead of it.
 */
public final class BookingRecordFilter implements RequestFilter {

  private final ControlService control;

  /** Creates the filter. */
  public BookingRecordFilter(ControlService control) {
    this.control = control;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    if (c.isChat() || !c.isIdFromCaller() || c.service().isIdempotent()) {
      return next.proceed(c);
    }
    CompletionStage<HttpResponse> answer;
    try {
      answer = next.proceed(c);
    } catch (RequestFailure f) {
      answer = CompletableFuture.failedFuture(f);
    }
    return answer
        .handle((r, e) -> e == null ? CompletableFuture.completedStage(r) : refused(c, e))
        .thenCompose(f -> f);
  }

  private CompletionStage<HttpResponse> refused(RequestContext c, Throwable e) {
    RequestFailure f = Answers.toFailure(e);
    if (f.kind().run() != RunState.NOT_RUN || c.isBookingRecordRead()) {
      return CompletableFuture.failedFuture(f);
    }
    return control
        .query(new ControlQuery.BookingOf(c.workspace().name(), c.requestId()))
        .handle((n, error) -> error == null ? answer(c, n, f) : undecided(f));
  }

  private static HttpResponse answer(RequestContext c, JsonNode found, RequestFailure f) {
    if (found.isEmpty()) {
      throw f;
    }
    Booking b = Json.convert(found.get(0), Booking.class);
    if (b.bodyHash() != null && !b.bodyHash().equals(c.bodyHash())) {
      throw new RequestFailure(
          ErrorKind.REQUEST_ID_REUSED, "The request id was used with another body.");
    }
    return BookingFilter.replay(c, b);
  }

  private static HttpResponse undecided(RequestFailure f) {
    throw new RequestFailure(
        ErrorKind.BOOKING_UNDECIDED,
        f.getMessage() + " An earlier attempt under the same id may have been run.");
  }
}
