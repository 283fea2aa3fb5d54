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
import org.goldcrestfall.daemon.upstream.ServiceAnswer;

/**
 * The booking attempts of this router against the control group. Starts and outcomes are submitted
 * until they are answered. An attempt whose start was not answered in time is abandoned: it is
 * never sent, and closed as not run once its start is answered. Thread-safe.
 */
public final class BookingService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RESEND_MILLIS = 1_000;

  /** Starts without an answer, above which no further booking is begun. */
  private static final int MAX_UNANSWERED = 256;

  private final BudgetService budgets;
  private final BookingLedger bookings;
  private final ControlService control;
  private final MillisClock utc;

  /** Creates the service. */
  public BookingService(BudgetService budgets, ControlService control, MillisClock utc) {
    this.budgets = budgets;
    this.control = control;
    this.utc = utc;
    bookings = budgets.withLedger(BookingLedger::new);
  }

  /** The answered start of an attempt. */
  public record Started(long attempt, BookingLedger.Decision decision, ControlReply reply) {}

  /** An identified booking with its reserved tokens. */
  public record Request(
      ReservedTokens reservation, String requestId, String bodyHash, String service) {}

  /** The outcome of an attempt; {@code bodyBase64} is null where the answer is not kept. */
  public record Outcome(BookingOutcome outcome, int status, String contentType, String bodyBase64) {

    /** The outcome of a call that was not sent, or whose result is not known. */
    public static Outcome without(BookingOutcome outcome) {
      return new Outcome(outcome, 0, null, null);
    }

    /** The outcome of an answered call. */
    public static Outcome ran(ServiceAnswer a, String bodyBase64) {
      return new Outcome(BookingOutcome.RAN, a.status(), a.contentType(), bodyBase64);
    }
  }

  /**
   * Commits the start of a booking. Takes over the reservation. Fails if the start is not known to
   * be committed; the attempt is then never sent.
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
              if (bookings.unanswered().size() >= MAX_UNANSWERED) {
                l.release(workspace, r.reservation().tokens());
                throw new RequestFailure(ErrorKind.NO_QUORUM, "The control group does not answer.");
              }
              return bookings.start(
                  workspace,
                  r.requestId(),
                  r.bodyHash(),
                  r.service(),
                  r.reservation().tokens(),
                  utc.nowMillis());
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
                    utc.nowMillis()));
    CompletableFuture<Void> done = new CompletableFuture<>();
    submitFinish(command, done);
    return done;
  }

  /** Returns the number of starts and outcomes without an answer. */
  public int unanswered() {
    return budgets.withLedger(l -> bookings.unanswered().size() + bookings.unfinished().size());
  }

  private void submitStart(ControlCommand.StartBooking c, CompletableFuture<Started> answered) {
    control
        .submit(c)
        .whenComplete(
            (r, e) -> {
              if (e != null) {
                answered.completeExceptionally(e);
                later(() -> submitStart(c, answered));
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

  /** Reports an attempt as not run whose incarnation was closed before it could be sent. */
  private void finishUnsent(long attempt) {
    for (ControlCommand.FinishBooking f : budgets.withLedger(l -> bookings.unfinished())) {
      if (f.attempt() == attempt) {
        submitFinish(f, new CompletableFuture<>());
      }
    }
  }

  private void abandon(ControlCommand.StartBooking c, BookingLedger.Decision d) {
    logger.atInfo().log("booking: start of request %s was answered too late: %s", c.requestId(), d);
    if (d == BookingLedger.Decision.SEND) {
      finish(c.attempt(), Outcome.without(BookingOutcome.NOT_RUN));
    }
  }

  private void submitFinish(ControlCommand.FinishBooking c, CompletableFuture<Void> done) {
    control
        .submit(c)
        .whenComplete(
            (r, e) -> {
              if (e != null) {
                later(() -> submitFinish(c, done));
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

  private static void later(Runnable task) {
    CompletableFuture.delayedExecutor(RESEND_MILLIS, TimeUnit.MILLISECONDS).execute(task);
  }
}
