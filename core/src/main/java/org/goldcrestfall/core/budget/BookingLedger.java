package org.goldcrestfall.core.budget;

import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.control.BookingOutcome;
import org.goldcrestfall.core.control.ControlCommand.FinishBooking;
import org.goldcrestfall.core.control.ControlCommand.StartBooking;
import org.goldcrestfall.core.control.ControlReply;

/**
 * The booking attempts of a router. The call to the upstream may be sent only after {@link
 * Decision#SEND}, which is returned at most once per attempt. Commands to the control group are
 * resent until they are answered. The tokens are reserved before the start, charged when the start
 * is committed, and refunded when the outcome {@code NOT_RUN} is committed. Not thread-safe.
 */
public final class BookingLedger {

  private final AllotmentLedger ledger;
  private final TreeMap<Long, Attempt> attempts = new TreeMap<>();
  private final Map<List<String>, Long> running = new HashMap<>();
  private long lastAttempt;

  /** Creates an empty ledger whose bookings are charged to {@code ledger}. */
  public BookingLedger(AllotmentLedger ledger) {
    this.ledger = ledger;
  }

  /** How the router continues after the reply to a start command. */
  public enum Decision {
    /** Send the call once, and then finish the attempt. */
    SEND,
    /** Answer the caller from the booking in the reply; this attempt has not sent the call. */
    ANSWER,
    /** Answer the caller with the refusal; this attempt has not sent the call. */
    REFUSE,
    /** Do nothing, because the reply is a duplicate. */
    IGNORE
  }

  /** Returns whether an attempt of the booking is running on this router. */
  public boolean isRunning(String workspace, String requestId) {
    return running.containsKey(List.of(workspace, requestId));
  }

  /**
   * Begins an attempt and returns its start command, to be resent until it is answered. The caller
   * must have reserved the tokens in the allotment ledger; the attempt takes over the reservation.
   *
   * @param startedAtMillis time of the start in milliseconds since the Unix epoch
   * @throws IllegalStateException if an attempt of this booking is already running
   */
  public StartBooking start(
      String workspace,
      String requestId,
      String bodyHash,
      String service,
      long tokens,
      long startedAtMillis) {
    checkState(
        !isRunning(workspace, requestId),
        "booking %s is already running on this router",
        requestId);
    lastAttempt++;
    StartBooking command =
        new StartBooking(
            ledger.self(),
            lastAttempt,
            workspace,
            requestId,
            bodyHash,
            service,
            tokens,
            startedAtMillis);
    attempts.put(lastAttempt, new Attempt(command));
    running.put(List.of(workspace, requestId), lastAttempt);
    return command;
  }

  /** Returns the start commands without a reply, to be resent. */
  public List<StartBooking> unanswered() {
    List<StartBooking> result = new ArrayList<>();
    for (Attempt a : attempts.values()) {
      if (!a.startAnswered) {
        result.add(a.start);
      }
    }
    return result;
  }

  /** Applies the reply to a start command and returns how to continue. */
  public Decision started(long attempt, ControlReply reply) {
    Attempt a = attempts.get(attempt);
    if (a == null || a.startAnswered) {
      return Decision.IGNORE;
    }
    a.startAnswered = true;
    StartBooking s = a.start;
    if (!(reply instanceof ControlReply.Booked booked)) {
      if (((ControlReply.Refused) reply).kind() == ErrorKind.OUTCOME_UNKNOWN) {
        // The dropped booking record may be that of this attempt, so its tokens count as charged.
        ledger.bookingCharged(s.workspace(), s.tokens());
      } else {
        ledger.release(s.workspace(), s.tokens());
      }
      remove(a);
      return Decision.REFUSE;
    }
    if (booked.startedNow()) {
      ledger.bookingCharged(s.workspace(), s.tokens());
      return Decision.SEND;
    }
    boolean own =
        booked.booking().router().equals(ledger.self()) && booked.booking().attempt() == attempt;
    if (own) {
      // The start was committed, but this incarnation was closed before the reply arrived. The
      // call was never sent.
      ledger.bookingCharged(s.workspace(), s.tokens());
      finish(attempt, BookingOutcome.NOT_RUN, 0, null, null, s.atMillis());
    } else {
      ledger.release(s.workspace(), s.tokens());
      remove(a);
    }
    return Decision.ANSWER;
  }

  /**
   * Records the outcome of an attempt and returns its finish command, to be resent until it is
   * answered.
   *
   * @param finishedAtMillis time of the outcome in milliseconds since the Unix epoch
   * @throws IllegalStateException if the start is not answered or the attempt is already finished
   */
  public FinishBooking finish(
      long attempt,
      BookingOutcome outcome,
      int status,
      String contentType,
      String body,
      long finishedAtMillis) {
    Attempt a = attempts.get(attempt);
    checkState(
        a != null && a.startAnswered && a.finish == null,
        "attempt %s is not waiting for its outcome",
        attempt);
    StartBooking s = a.start;
    a.finish =
        new FinishBooking(
            ledger.self(),
            attempt,
            s.workspace(),
            s.requestId(),
            outcome,
            status,
            contentType,
            body,
            finishedAtMillis);
    return a.finish;
  }

  /** Returns the finish commands without a reply, to be resent. */
  public List<FinishBooking> unfinished() {
    List<FinishBooking> result = new ArrayList<>();
    for (Attempt a : attempts.values()) {
      if (a.finish != null) {
        result.add(a.finish);
      }
    }
    return result;
  }

  /** Applies the reply to a finish command. */
  public void finished(long attempt, ControlReply reply) {
    Attempt a = attempts.get(attempt);
    if (a == null || a.finish == null) {
      return;
    }
    if (reply instanceof ControlReply.Booked booked
        && booked.booking().outcome() == BookingOutcome.NOT_RUN) {
      ledger.bookingRefunded(a.start.workspace(), a.start.tokens());
    }
    remove(a);
  }

  private void remove(Attempt a) {
    attempts.remove(a.start.attempt());
    running.remove(List.of(a.start.workspace(), a.start.requestId()));
  }

  private static final class Attempt {
    final StartBooking start;
    boolean startAnswered;
    FinishBooking finish;

    Attempt(StartBooking start) {
      this.start = start;
    }
  }
}
