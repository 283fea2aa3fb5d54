package org.goldcrestfall.daemon.budget;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.budget.BookingLedger;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.BookingOutcome;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.upstream.ServiceResponse;

/**
 * Submits the starts and outcomes of this router's booking attempts to the control group and
 * resends them until the control group has answered. An attempt whose start is not answered in time
 * is abandoned: its call is never sent, and it is finished as {@code NOT_RUN} once its start is
 * answered. Thread-safe.
 */
public final class BookingService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay before a command without an answer is submitted again. */
  private static final long RESEND_DELAY_MILLIS = 1_000;

  /** Maximum number of unanswered starts; further bookings are refused at once. */
  private static final int MAX_UNANSWERED_STARTS = 256;

  private final BudgetService budgets;
  private final BookingLedger bookings;
  private final ControlService control;
  private final MillisClock utcClock;

  /** Creates the service of the router incarnation that {@code budgets} belongs to. */
  public BookingService(BudgetService budgets, ControlService control, MillisClock utcClock) {
    this.budgets = budgets;
    this.control = control;
    this.utcClock = utcClock;
    bookings = budgets.withLedger(BookingLedger::new);
  }

  /** The answer to the start of an attempt. */
  public record Started(long attempt, BookingLedger.Decision decision, ControlReply reply) {}

  /** A booking request with its reserved tokens. */
  public record Request(
      ReservedTokens reservation, String requestId, String bodyHash, String service) {}

  /** The outcome of an attempt; {@code bodyBase64} is null if the answer is not stored. */
  public record Outcome(BookingOutcome outcome, int status, String contentType, String bodyBase64) {

    /** Returns the outcome of a call that was not sent or whose result is unknown. */
    public static Outcome withoutAnswer(BookingOutcome outcome) {
      return new Outcome(outcome, 0, null, null);
    }

    /** Returns the outcome of an answered call. */
    public static Outcome ofAnswer(ServiceResponse response, String bodyBase64) {
      return new Outcome(BookingOutcome.RAN, response.status(), response.contentType(), bodyBase64);
    }
  }

  /**
   * Commits the start of a booking and takes over the reservation. The future fails if the start is
   * not known to be committed; the call is then never sent.
   *
   * @throws RequestFailure if the booking is already running on this router, or if too many starts
   *     are unanswered
   */
  public CompletableFuture<Started> start(Request r) {
    ControlCommand.StartBooking command =
        budgets.withLedger(
            l -> {
              String workspace = r.reservation().workspace();
              if (bookings.isRunning(workspace, r.requestId())) {
                l.release(workspace, r.reservation().tokens());
                throw new RequestFailure(
                    ErrorKind.BOOKING_IN_PROGRESS, "The booking is running on this router.");
              }
              if (bookings.unanswered().size() >= MAX_UNANSWERED_STARTS) {
                l.release(workspace, r.reservation().tokens());
                throw new RequestFailure(ErrorKind.NO_QUORUM, "The control group does not answer.");
              }
              return bookings.start(
                  workspace,
                  r.requestId(),
                  r.bodyHash(),
                  r.service(),
                  r.reservation().tokens(),
                  utcClock.nowMillis());
            });
    CompletableFuture<Started> answered = new CompletableFuture<>();
    submitStart(command, answered);
    return answered;
  }

  /** Commits the outcome of an attempt; completes once the control group has answered. */
  public CompletableFuture<Void> finish(long attempt, Outcome o) {
    ControlCommand.FinishBooking command =
        budgets.withLedger(
            l ->
                bookings.finish(
                    attempt,
                    o.outcome(),
                    o.status(),
                    o.contentType(),
                    o.bodyBase64(),
                    utcClock.nowMillis()));
    CompletableFuture<Void> done = new CompletableFuture<>();
    submitFinish(command, done);
    return done;
  }

  /** Returns the number of unanswered starts and outcomes. */
  public int unansweredCount() {
    return budgets.withLedger(l -> bookings.unanswered().size() + bookings.unfinished().size());
  }

  private void submitStart(ControlCommand.StartBooking c, CompletableFuture<Started> answered) {
    control
        .submit(c)
        .whenComplete(
            (r, e) -> {
              if (e != null) {
                answered.completeExceptionally(e);
                scheduleResend(() -> submitStart(c, answered));
                return;
              }
              BookingLedger.Decision d = budgets.withLedger(l -> bookings.started(c.attempt(), r));
              if (d == BookingLedger.Decision.ANSWER) {
                finishUnsent(c.attempt());
              }
              if (!answered.complete(new Started(c.attempt(), d, r))) {
                abandon(c, d);
              }
            });
  }

  /**
   * Submits {@code NOT_RUN} for an attempt whose incarnation was closed before the call was sent.
   */
  private void finishUnsent(long attempt) {
    for (ControlCommand.FinishBooking f : budgets.withLedger(l -> bookings.unfinished())) {
      if (f.attempt() == attempt) {
        submitFinish(f, new CompletableFuture<>());
      }
    }
  }

  private void abandon(ControlCommand.StartBooking c, BookingLedger.Decision d) {
    logger.atInfo().log(
        "booking: start of request %s was answered after the attempt was abandoned; decision %s",
        c.requestId(), d);
    if (d == BookingLedger.Decision.SEND) {
      finish(c.attempt(), Outcome.withoutAnswer(BookingOutcome.NOT_RUN));
    }
  }

  private void submitFinish(ControlCommand.FinishBooking c, CompletableFuture<Void> done) {
    control
        .submit(c)
        .whenComplete(
            (r, e) -> {
              if (e != null) {
                scheduleResend(() -> submitFinish(c, done));
                return;
              }
              budgets.withLedger(
                  l -> {
                    bookings.finished(c.attempt(), r);
                    return null;
                  });
              budgets.serveWaiters(c.workspace());
              done.complete(null);
            });
  }

  private static void scheduleResend(Runnable task) {
    CompletableFuture.delayedExecutor(RESEND_DELAY_MILLIS, TimeUnit.MILLISECONDS).execute(task);
  }
}
