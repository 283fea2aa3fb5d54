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
import org.goldcrestfall.core.common.SeenNumbers;
import org.goldcrestfall.core.control.ControlReply.Booked;
import org.goldcrestfall.core.control.ControlReply.Refused;

/** The bookings: a start is committed once, and only its own attempt may report the outcome. */
final class BookingTable {

  /**
   * Bookings kept over all workspaces. A retry of a dropped booking is answered {@code
   * OUTCOME_UNKNOWN}: its answer is lost, but it is not run again.
   */
  static final int MAX_BOOKINGS = 20_000;

  /**
   * Dropped bookings that are at least remembered by id. A retry of an id beyond that would run
   * again, which needs a caller that retries after a quarter of a million later bookings.
   */
  static final int MIN_RETAINED_IDS = 250_000;

  /** Kept answers in bytes of Base64; the oldest ones are dropped first. */
  static final long MAX_TOTAL_BODY_CHARS = 32L << 20;

  /** Base64 of 64 KiB. */
  static final int MAX_BODY_CHARS_PER_BOOKING = 87_384;

  private final BudgetTable budgets;
  private final HostTable hosts;
  private final LinkedHashMap<List<String>, Booking> bookings = new LinkedHashMap<>();
  private final Set<List<String>> unreported = new HashSet<>();
  private final TreeMap<Incarnation, SeenNumbers> attempts = new TreeMap<>();
  private final DigestSet dropped = new DigestSet(MIN_RETAINED_IDS);
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
    if (dropped.contains(c.workspace(), c.requestId())) {
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
    // A new attempt moves to the end of the retention order.
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
   * Takes note of an attempt and returns whether it is new. An attempt that was answered otherwise
   * than with a start has freed its reservation, so a late copy of it must not start the booking.
   */
  private boolean recordAttempt(Incarnation router, long attempt) {
    return attempts.computeIfAbsent(router, r -> new SeenNumbers()).add(attempt);
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
    // The closing of an incarnation sets UNKNOWN; the attempt itself may still report what it
    // knows.
    if (b.outcome() != STARTED && !unreported.remove(key)) {
      return new Booked(b, false);
    }
    Booking done =
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
    putFinished(key, done);
    if (c.outcome() == NOT_RUN) {
      Budget budget = budgets.find(b.workspace());
      budget.refund(budgets.getOrCreateAccount(budget, b.router()), b.tokens());
      budgets.releaseRequestedAccounts();
    }
    return new Booked(done, false);
  }

  private void putFinished(List<String> key, Booking b) {
    bookings.put(key, b);
    totalBodyChars += b.body() == null ? 0 : b.body().length();
    Iterator<Booking> i = bookings.values().iterator();
    List<Booking> stripped = new ArrayList<>();
    while (totalBodyChars > MAX_TOTAL_BODY_CHARS && i.hasNext()) {
      Booking old = i.next();
      if (old.body() != null) {
        totalBodyChars -= old.body().length();
        stripped.add(withoutBody(old, old.outcome()));
      }
    }
    stripped.forEach(x -> bookings.put(List.of(x.workspace(), x.requestId()), x));
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
      dropped.add(b.workspace(), b.requestId());
    }
  }

  /** Marks the bookings that incarnations of a host below {@code boot} have started as unknown. */
  void close(String host, long boot) {
    attempts.keySet().removeIf(i -> i.host().equals(host) && i.boot() < boot);
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

  /** Returns the booking under a request id, with unknown outcome if its record was dropped. */
  List<Booking> find(String workspace, String requestId) {
    Booking b = bookings.get(List.of(workspace, requestId));
    if (b != null) {
      return List.of(b);
    }
    return dropped.contains(workspace, requestId)
        ? List.of(
            new Booking(workspace, requestId, null, null, 0, null, 0, UNKNOWN, 0, null, null, 0))
        : List.of();
  }

  List<Booking> newest(String workspace, int limit) {
    List<Booking> result = new ArrayList<>();
    for (Booking b : bookings.values()) {
      if (b.workspace().equals(workspace)) {
        result.add(b);
      }
    }
    return Newest.of(result, limit);
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
    attempts.forEach((r, n) -> savedAttempts.add(new Attempts(r, n.through(), n.ahead())));
    return new Saved(List.copyOf(bookings.values()), unreportedAt, savedAttempts, dropped.save());
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
    s.attempts().forEach(a -> attempts.put(a.router(), new SeenNumbers(a.through(), a.ahead())));
    dropped.restore(s.dropped());
  }

  /** The attempts of an incarnation that were answered, see {@link SeenNumbers}. */
  public record Attempts(Incarnation router, long through, List<Long> ahead) {}

  /**
   * The bookings in a snapshot; {@code unreportedAt} are the positions of those whose outcome was
   * set by the closing of their router; {@code ended} are the attempts that were refused or did not
   * run.
   */
  public record Saved(
      List<Booking> bookings,
      List<Integer> unreportedAt,
      List<Attempts> attempts,
      List<String> dropped) {}
}
