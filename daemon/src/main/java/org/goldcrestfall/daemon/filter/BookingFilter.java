package org.goldcrestfall.daemon.filter;

import com.google.common.flogger.FluentLogger;
import java.util.Base64;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.Booking;
import org.goldcrestfall.core.control.BookingOutcome;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.daemon.budget.BookingService;
import org.goldcrestfall.daemon.http.HttpResponses;
import org.goldcrestfall.daemon.upstream.EngineSelector;
import org.goldcrestfall.daemon.upstream.NotSentException;
import org.goldcrestfall.daemon.upstream.ServiceClient;
import org.goldcrestfall.daemon.upstream.ServiceResponse;
import org.goldcrestfall.daemon.upstream.UpstreamPool;

/**
 * Runs each booking at most once, as specified in section 5.4 of the design. The start of a booking
 * is committed before the first byte is sent to the service, and the outcome after the service has
 * answered, so that a retry finds the record.
 */
public final class BookingFilter implements RequestFilter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Longest response body that is kept in the booking record. A longer one is forwarded but not
   * kept, and a retry gets only the status.
   */
  static final int MAX_RECORDED_BODY_BYTES = 64 * 1024;

  /** Longest wait for the commit of an outcome before the response is sent. */
  private static final long OUTCOME_WAIT_MILLIS = 2_000;

  /**
   * Maximum number of instances to try. Another one is tried only if no byte was sent to the
   * previous one.
   */
  private static final int MAX_INSTANCES = 3;

  private final UpstreamPool pool;
  private final ServiceClient client;
  private final BookingService bookings;

  /** Creates the filter. */
  public BookingFilter(UpstreamPool pool, ServiceClient client, BookingService bookings) {
    this.pool = pool;
    this.client = client;
    this.bookings = bookings;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    String service = c.serviceCall().service().name();
    BookingService.Request r =
        new BookingService.Request(c.reservation(), c.requestId(), c.bodyHash(), service);
    return bookings
        .start(r)
        .handle((s, e) -> e == null ? onStarted(c, s) : this.<HttpResponse>fail(startFailure(c, e)))
        .thenCompose(f -> f)
        .whenComplete((a, e) -> c.end());
  }

  private <T> CompletionStage<T> fail(Throwable e) {
    return CompletableFuture.failedFuture(e);
  }

  private static RequestFailure startFailure(RequestContext c, Throwable e) {
    logger.atInfo().log(
        "booking: start of request %s is not known to be committed: %s",
        c.requestId(), HttpResponses.unwrap(e).getMessage());
    return c.isIdFromCaller()
        ? undecided("The control group does not answer")
        : new RequestFailure(ErrorKind.NO_QUORUM, "The control group does not answer.");
  }

  private CompletionStage<HttpResponse> onStarted(RequestContext c, BookingService.Started s) {
    c.markBookingRecordRead();
    return switch (s.decision()) {
      case SEND -> send(c, s.attempt(), new HashSet<>());
      case ANSWER ->
          CompletableFuture.completedFuture(replay(c, ((ControlReply.Booked) s.reply()).booking()));
      case REFUSE -> {
        ControlReply.Refused f = (ControlReply.Refused) s.reply();
        throw new RequestFailure(f.kind(), f.message());
      }
      case IGNORE -> throw new IllegalStateException("the start of the booking was answered twice");
    };
  }

  /** Returns the response to a retry, from the booking record. */
  static HttpResponse replay(RequestContext c, Booking b) {
    switch (b.outcome()) {
      case RAN:
        byte[] body = b.body() == null ? new byte[0] : Base64.getDecoder().decode(b.body());
        return ServiceFilter.response(c, new ServiceResponse(b.status(), b.contentType(), body))
            .addHeader(RawHeader.create("Goldcrestfall-Replayed", "true"));
      case UNKNOWN:
        throw outcomeUnknown();
      default:
        throw new RequestFailure(
            ErrorKind.BOOKING_IN_PROGRESS, "The booking was started and has no outcome yet.");
    }
  }

  private CompletionStage<HttpResponse> send(
      RequestContext c, long attempt, Set<String> failedInstances) {
    Optional<EngineSelector.Selection> selected =
        failedInstances.size() >= MAX_INSTANCES
            ? Optional.empty()
            : pool.selectService(c.serviceCall().service().name(), failedInstances);
    if (selected.isEmpty()) {
      return finishNotRun(c, attempt);
    }
    EngineSelector.Selection instance = selected.get();
    long timeout = ServiceFilter.CALL_TIMEOUT_MILLIS;
    return client
        .call(instance.address(), ServiceFilter.request(c, instance, timeout), timeout)
        .handle(
            (a, e) -> {
              if (e == null) {
                instance.finished();
                return finishRan(c, attempt, a);
              }
              instance.failed();
              failedInstances.add(instance.name());
              return HttpResponses.unwrap(e) instanceof NotSentException
                  ? send(c, attempt, failedInstances)
                  : finishUnknown(attempt);
            })
        .thenCompose(f -> f);
  }

  private CompletionStage<HttpResponse> finishRan(
      RequestContext c, long attempt, ServiceResponse response) {
    String recordedBody =
        response.body().length <= MAX_RECORDED_BODY_BYTES
            ? Base64.getEncoder().encodeToString(response.body())
            : null;
    return bookings
        .finish(attempt, BookingService.Outcome.ofAnswer(response, recordedBody))
        .completeOnTimeout(null, OUTCOME_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .thenApply(v -> ServiceFilter.response(c, response));
  }

  /**
   * Reports the attempt as not run and refuses the request. The committed start shows that no
   * earlier attempt under the id ran, so the caller can be told for certain that the booking was
   * not run.
   */
  private CompletionStage<HttpResponse> finishNotRun(RequestContext c, long attempt) {
    bookings.finish(attempt, BookingService.Outcome.withoutAnswer(BookingOutcome.NOT_RUN));
    return fail(ServiceFilter.noInstance(c));
  }

  private CompletionStage<HttpResponse> finishUnknown(long attempt) {
    return bookings
        .finish(attempt, BookingService.Outcome.withoutAnswer(BookingOutcome.UNKNOWN))
        .completeOnTimeout(null, OUTCOME_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .thenCompose(v -> fail(outcomeUnknown()));
  }

  private static RequestFailure outcomeUnknown() {
    return new RequestFailure(
        ErrorKind.OUTCOME_UNKNOWN,
        "The booking was sent, and its outcome is not known. It is never sent again.");
  }

  private static RequestFailure undecided(String reason) {
    return new RequestFailure(
        ErrorKind.BOOKING_UNDECIDED,
        reason + ". This attempt was not run; an earlier one under the same id may have been.");
  }
}
