package org.goldcrestfall.core.control;

import static org.goldcrestfall.core.control.BookingOutcome.NOT_RUN;
import static org.goldcrestfall.core.control.BookingOutcome.RAN;
import static org.goldcrestfall.core.control.BookingOutcome.STARTED;
import static org.goldcrestfall.core.control.BookingOutcome.UNKNOWN;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.SequenceNumberSet;
import org.goldcrestfall.core.control.ControlReply.Booked;
import org.goldcrestfall.core.control.ControlReply.Refused;

/**
 * The bookings. A new attempt to run a booking starts only if the previous one did not run, and
 * only the current attempt may report the outcome.
 */
final class BookingTable {

  /**
   * The number of bookings retained over all workspaces. A retry of a dropped booking is refused
   * with {@code OUTCOME_UNKNOWN}: its response is lost, but it is not run again.
   */
  static final int MAX_BOOKINGS = 20_000;

  /**
   * The minimum number of dropped bookings whose ids are retained. A retry of an older booking
   * would run again; this happens only if the caller retries after 250,000 later bookings.
   */
  static final int MIN_RETAINED_IDS = 250_000;

  /**
   * The total size of the retained response bodies in Base64 characters; the oldest are dropped
   * first.
   */
  static final long MAX_TOTAL_BODY_CHARS = 32L << 20;

  /** The longest response body of a booking: 64 KiB, in Base64 characters. */
  static final int MAX_BODY_CHARS_PER_BOOKING = 87_384;

  private final BudgetTable budgets;
  private final HostTable hosts;
  private final LinkedHashMap<List<String>, Booking> bookings = new LinkedHashMap<>();

  /**
   * The bookings whose outcome was set to {@code UNKNOWN} when their incarnation was closed and
   * whose attempt has not reported the actual outcome since.
   */
  private final Set<List<String>> unreported = new HashSet<>();

  /** The attempt numbers that each incarnation has used. */
  private final TreeMap<Incarnation, SequenceNumberSet> seenAttempts = new TreeMap<>();

  private final DigestSet droppedIds = new DigestSet(MIN_RETAINED_IDS);
  private long totalBodyChars;

  BookingTable(BudgetTable budgets, HostTable hosts) {
    this.budgets = budgets;
    this.hosts = hosts;
  }

  ControlReply start(ControlCommand.StartBooking c) {
    Budget budget = budgets.find(c.workspace());
    Refused refused = budgets.check(c.router(), budget, c.workspace(), c.tokens());
    if (refused != null) {
      return refused;
    }
    List<String> key = List.of(c.workspace(), c.requestId());
    Booking b = bookings.get(key);
    if (b != null && isSameAttempt(b, c)) {
      return new Booked(b, b.outcome() == STARTED);
    }
    boolean open = hosts.isOpen(c.router());
    final boolean isNew = open && recordAttempt(c.router(), c.attempt());
    if (b != null && b.outcome() != NOT_RUN) {
      if (!b.bodyHash().equals(c.bodyHash()) || !b.service().equals(c.service())) {
        return new Refused(
            ErrorKind.REQUEST_ID_REUSED,
            "request id " + c.requestId() + " was used for another booking");
      }
      return new Booked(b, false);
    }
    if (droppedIds.contains(c.workspace(), c.requestId())) {
      return new Refused(
          ErrorKind.OUTCOME_UNKNOWN, "the booking is too old, its outcome is no longer kept");
    }
    if (!open) {
      return BudgetTable.closedRefusal(c.router());
    }
    if (!isNew && b != null) {
      return new Booked(b, false);
    }
    Account account = budgets.getOrCreateAccount(budget, c.router());
    if (!isNew || account.balance() < c.tokens()) {
      return new Refused(
          ErrorKind.BUDGET_EXHAUSTED, "the router's allotment does not cover the booking");
    }
    budget.charge(account, c.tokens());
    // A new attempt moves the booking to the end of the order in which bookings are dropped.
    bookings.remove(key);
    b =
        new Booking(
            c.workspace(),
            c.requestId(),
            c.bodyHash(),
            c.service(),
            c.tokens(),
            c.router(),
            c.attempt(),
            STARTED,
            0,
            null,
            null,
            c.atMillis());
    bookings.put(key, b);
    dropOldest();
    return new Booked(b, true);
  }

  private static boolean isSameAttempt(Booking b, ControlCommand.StartBooking c) {
    return b.router().equals(c.router()) && b.attempt() == c.attempt();
  }

  /**
   * Records an attempt number and returns whether it is new. A router frees its reservation when an
   * attempt does not start the booking, so a delayed copy of that command must not start it either.
   */
  private boolean recordAttempt(Incarnation router, long attempt) {
    return seenAttempts.computeIfAbsent(router, r -> new SequenceNumberSet()).add(attempt);
  }

  ControlReply finish(ControlCommand.FinishBooking c) {
    List<String> key = List.of(c.workspace(), c.requestId());
    Booking b = bookings.get(key);
    if (b == null || !b.router().equals(c.router()) || b.attempt() != c.attempt()) {
      return new Refused(ErrorKind.NOT_FOUND, "the booking has no such attempt");
    }
    if (c.outcome() == STARTED
        || (c.body() != null && c.body().length() > MAX_BODY_CHARS_PER_BOOKING)) {
      return new Refused(
          ErrorKind.INVALID_PARAMETER, "the outcome must be final, with at most 64 KiB of answer");
    }
    // Closing an incarnation sets the outcome to UNKNOWN; the attempt may still report the actual
    // outcome.
    if (b.outcome() != STARTED && !unreported.remove(key)) {
      return new Booked(b, false);
    }
    Booking finished =
        new Booking(
            b.workspace(),
            b.requestId(),
            b.bodyHash(),
            b.service(),
            b.tokens(),
            b.router(),
            b.attempt(),
            c.outcome(),
            c.status(),
            c.contentType(),
            c.outcome() == RAN ? c.body() : null,
            c.atMillis());
    putFinished(key, finished);
    if (c.outcome() == NOT_RUN) {
      Budget budget = budgets.find(b.workspace());
      budget.refund(budgets.getOrCreateAccount(budget, b.router()), b.tokens());
      budgets.releaseRequestedAccounts();
    }
    return new Booked(finished, false);
  }

  /** Stores a finished booking and drops the oldest response bodies beyond the total limit. */
  private void putFinished(List<String> key, Booking b) {
    bookings.put(key, b);
    totalBodyChars += b.body() == null ? 0 : b.body().length();
    Iterator<Booking> i = bookings.values().iterator();
    List<Booking> withoutBodies = new ArrayList<>();
    while (totalBodyChars > MAX_TOTAL_BODY_CHARS && i.hasNext()) {
      Booking old = i.next();
      if (old.body() != null) {
        totalBodyChars -= old.body().length();
        withoutBodies.add(withoutBody(old, old.outcome()));
      }
    }
    withoutBodies.forEach(x -> bookings.put(List.of(x.workspace(), x.requestId()), x));
  }

  private void dropOldest() {
    if (bookings.size() <= MAX_BOOKINGS) {
      return;
    }
    List<String> key = bookings.keySet().iterator().next();
    Booking b = bookings.remove(key);
    unreported.remove(key);
    totalBodyChars -= b.body() == null ? 0 : b.body().length();
    if (b.outcome() != NOT_RUN) {
      droppedIds.add(b.workspace(), b.requestId());
    }
  }

  /**
   * Sets the outcome of the bookings started by incarnations of a host whose boot number is below
   * {@code boot} to {@code UNKNOWN}.
   */
  void close(String host, long boot) {
    seenAttempts.keySet().removeIf(i -> i.host().equals(host) && i.boot() < boot);
    for (Booking b : List.copyOf(bookings.values())) {
      if (b.outcome() == STARTED && b.router().host().equals(host) && b.router().boot() < boot) {
        List<String> key = List.of(b.workspace(), b.requestId());
        bookings.put(key, withoutBody(b, UNKNOWN));
        unreported.add(key);
      }
    }
  }

  private static Booking withoutBody(Booking b, BookingOutcome outcome) {
    return new Booking(
        b.workspace(),
        b.requestId(),
        b.bodyHash(),
        b.service(),
        b.tokens(),
        b.router(),
        b.attempt(),
        outcome,
        b.status(),
        b.contentType(),
        null,
        b.atMillis());
  }

  /**
   * Returns the booking of a request id, an empty list if there is none. A dropped booking is
   * returned with outcome {@code UNKNOWN} and without its other fields.
   */
  List<Booking> find(String workspace, String requestId) {
    Booking b = bookings.get(List.of(workspace, requestId));
    if (b != null) {
      return List.of(b);
    }
    return droppedIds.contains(workspace, requestId)
        ? List.of(
            new Booking(workspace, requestId, null, null, 0, null, 0, UNKNOWN, 0, null, null, 0))
        : List.of();
  }

  /** Returns the newest bookings of a workspace, newest first. */
  List<Booking> newest(String workspace, int limit) {
    List<Booking> result = new ArrayList<>();
    for (Booking b : bookings.values()) {
      if (b.workspace().equals(workspace)) {
        result.add(b);
      }
    }
    return NewestFirst.of(result, limit);
  }

  Saved save() {
    List<Integer> unreportedAt = new ArrayList<>();
    int i = 0;
    for (List<String> key : bookings.keySet()) {
      if (unreported.contains(key)) {
        unreportedAt.add(i);
      }
      i++;
    }
    List<Attempts> savedAttempts = new ArrayList<>();
    seenAttempts.forEach((r, n) -> savedAttempts.add(new Attempts(r, n.through(), n.ahead())));
    return new Saved(
        List.copyOf(bookings.values()), unreportedAt, savedAttempts, droppedIds.save());
  }

  void restore(Saved s) {
    for (Booking b : s.bookings()) {
      bookings.put(List.of(b.workspace(), b.requestId()), b);
      totalBodyChars += b.body() == null ? 0 : b.body().length();
    }
    for (int i : s.unreportedAt()) {
      Booking b = s.bookings().get(i);
      unreported.add(List.of(b.workspace(), b.requestId()));
    }
    s.attempts()
        .forEach(a -> seenAttempts.put(a.router(), new SequenceNumberSet(a.through(), a.ahead())));
    droppedIds.restore(s.dropped());
  }

  /** The recorded attempt numbers of an incarnation; see {@link SequenceNumberSet}. */
  public record Attempts(Incarnation router, long through, List<Long> ahead) {}

  /**
   * The form of the bookings in a snapshot. {@code unreportedAt} holds the positions in {@code
   * bookings} of those whose attempt has not reported since its incarnation was closed, {@code
   * dropped} the hashed ids of dropped bookings.
   */
  public record Saved(
      List<Booking> bookings,
      List<Integer> unreportedAt,
      List<Attempts> attempts,
      List<String> dropped) {}
}
