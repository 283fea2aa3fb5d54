package org.goldcrestfall.core.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.core.budget.FakeRouter.WORKSPACE;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.control.Booking;
import org.goldcrestfall.core.control.BookingOutcome;
import org.goldcrestfall.core.control.BudgetView;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlCommand.TransferAllotment;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.ControlStateHarness;
import org.goldcrestfall.core.control.Intent;

/**
 * Simulates a few routers and a control state that are connected by a network which delays,
 * reorders, duplicates and loses messages. Each step is encoded as a number; {@link #check} asserts
 * the invariants after every step.
 */
final class EscrowSimulation {

  private static final int HOSTS = 4;
  private static final int REQUEST_IDS = 40;

  private final ControlStateHarness group = new ControlStateHarness();

  /** Applies the same commands as {@code group} but is never restored from a snapshot. */
  private final ControlStateHarness neverRestored = new ControlStateHarness();

  private final FakeRouter[] currentRouters = new FakeRouter[HOSTS];
  private final List<FakeRouter> allProcesses = new ArrayList<>();
  private final List<Runnable> network = new ArrayList<>();
  private final Map<String, Long> delivered = new HashMap<>();
  private final Map<String, Map<FakeRouter, Long>> deliveredByRequest = new HashMap<>();
  private final Map<String, Integer> bookingsRun = new HashMap<>();
  private final Map<String, Integer> charges = new HashMap<>();
  private final Set<ControlCommand> approvedStarts = new HashSet<>();
  private long now;
  private int registrations;
  private boolean released;
  private long transfersReceived;
  private long maximumDelivered;

  EscrowSimulation() {
    for (ControlStateHarness g : List.of(group, neverRestored)) {
      g.createWorkspace(WORKSPACE, 250);
    }
    for (int i = 0; i < HOSTS; i++) {
      start(i);
    }
  }

  private ControlReply apply(ControlCommand c) {
    ControlReply reply = group.apply(c);
    assertThat(reply)
        .as("a state restored from its snapshot replies the same")
        .isEqualTo(neverRestored.apply(c));
    return reply;
  }

  private void start(int i) {
    registrations++;
    String host = "a" + i;
    ControlCommand register =
        new ControlCommand.RegisterHost(host, "z", "x", "n" + registrations, true, hasDisk(i), 0);
    long boot = ((ControlReply.Registered) apply(register)).boot();
    network.add(() -> apply(register));
    FakeRouter old = currentRouters[i];
    currentRouters[i] = new FakeRouter(new Incarnation(host, boot), hasDisk(i));
    allProcesses.add(currentRouters[i]);
    if (old != null && hasDisk(i)) {
      send(
          currentRouters[i],
          new ControlCommand.CloseIncarnation(old.self, old.durableWatermarks(), true, 0));
    }
  }

  private static boolean hasDisk(int i) {
    return i < 2;
  }

  private void send(FakeRouter router, ControlCommand command) {
    network.add(
        () -> {
          if (router.partitioned) {
            return;
          }
          ControlReply reply = apply(command);
          recordCharges(command, reply);
          network.add(
              () -> {
                if (router.isActive() && !router.partitioned) {
                  long attempt = router.handle(command, reply);
                  if (attempt > 0) {
                    router.attemptsToSend.add(attempt);
                    approvedStarts.add(command);
                  }
                }
              });
        });
  }

  private void recordCharges(ControlCommand command, ControlReply reply) {
    if (command instanceof ControlCommand.SettleRequests c
        && reply instanceof ControlReply.Settled s) {
      for (int i = 0; i < s.charged().size(); i++) {
        if (s.charged().get(i)) {
          String key = c.records().get(i).requestId() + "@" + c.router() + "/" + c.batch();
          charges.put(key, 1);
        }
      }
    }
  }

  long deliveredPerMille() {
    return 1000 * maximumDelivered / group.budget(WORKSPACE).paidIn();
  }

  int bookingsRun() {
    return bookingsRun.size();
  }

  long transfersReceived() {
    return transfersReceived;
  }

  /**
   * Executes one step. The last two digits of {@code number} select the operation; the other digits
   * select the router, the elapsed time and the arguments.
   */
  void step(int number) {
    int argument = number / 100;
    FakeRouter r = currentRouters[argument % HOSTS];
    argument /= HOSTS;
    now += argument % 300;
    int op = number % 100;
    if (op < 30) {
      for (int i = 0; i <= argument % 16; i++) {
        deliver(argument / 16 + 7 * i);
      }
    } else if (op < 45) {
      if (r.isActive()) {
        final boolean flush = argument % 3 > 0;
        r.outbox(now + 1_000, flush).forEach(c -> send(r, c));
        r.transfers.undelivered().forEach(t -> transfer(r, t));
      }
    } else if (op < 60) {
      request(r, "r" + argument % REQUEST_IDS, 1 + argument / REQUEST_IDS % 60);
    } else if (op < 72) {
      finishRequest(r, argument);
    } else if (op < 76) {
      book(r, "b" + argument % REQUEST_IDS, 1 + argument / REQUEST_IDS % 30);
    } else if (op < 80) {
      sendBookedCall(r, argument);
    } else {
      fault(op, r, argument);
    }
    check();
  }

  private void fault(int op, FakeRouter r, int argument) {
    int host = List.of(currentRouters).indexOf(r);
    if (op < 84) {
      transferTokens(r, currentRouters[argument % HOSTS], 1 + argument / HOSTS % 50);
    } else if (op < 86) {
      r.partitioned = argument % 5 == 0;
    } else if (op < 88) {
      r.frozen = argument % 5 == 0;
    } else if (op < 91) {
      if (argument % 4 > 0) {
        return;
      }
      // On a host with a disk, the lock on the data folder keeps a new process from starting while
      // the old one is frozen.
      if (hasDisk(host) || argument % 8 == 0) {
        r.alive = false;
      } else {
        r.frozen = true;
        allProcesses.add(r);
      }
      start(host);
    } else if (op < 93) {
      Intent topUp = new Intent.TopUpBudget(WORKSPACE, 1 + argument % 40);
      assertThat(group.planAndConfirm(topUp)).isEqualTo(neverRestored.planAndConfirm(topUp));
    } else if (op < 95) {
      if (r.isActive()) {
        r.ledger.returnTokens(WORKSPACE, argument % 80);
      }
    } else if (op < 97) {
      group.restoreFromSnapshot();
    } else if (op < 98) {
      release(allProcesses.get(argument % allProcesses.size()));
    } else if (op < 99) {
      FakeRouter old = allProcesses.get(argument % allProcesses.size());
      old.frozen = false;
    } else if (r.isActive() && !r.partitioned) {
      closeReplacedIncarnations(r);
    }
  }

  private void deliver(int argument) {
    if (network.isEmpty()) {
      return;
    }
    // Index 0 is the oldest message; half of the deliveries take it and so keep the order.
    int i = argument % 2 == 0 ? 0 : argument / 2 % network.size();
    boolean repeat = argument / 64 % 5 == 0;
    boolean lose = argument / 64 % 11 == 1;
    Runnable message = repeat ? network.get(i) : network.remove(i);
    if (!lose) {
      message.run();
    }
  }

  private void transfer(FakeRouter from, TransferAllotment t) {
    network.add(
        () -> {
          for (FakeRouter to : allProcesses) {
            if (to.self.equals(t.to()) && to.isActive() && to.transfers.receive(t)) {
              transfersReceived++;
              network.add(() -> from.transfers.delivered(WORKSPACE, t.number()));
            }
          }
        });
  }

  private void transferTokens(FakeRouter from, FakeRouter to, long tokens) {
    if (from != to && from.isActive()) {
      from.transfers.startTransfer(WORKSPACE, tokens, to.self).ifPresent(t -> transfer(from, t));
      from.writeWatermark();
    }
  }

  private void request(FakeRouter r, String id, long worstCase) {
    if (!r.isActive() || r.runningRequests.stream().anyMatch(x -> x.id().equals(id))) {
      return;
    }
    List<?> billed = (List<?>) group.state().query(new ControlQuery.BillingOf(WORKSPACE, id));
    if (!billed.isEmpty() && !r.partitioned) {
      return;
    }
    r.run(id, worstCase, now);
  }

  private void finishRequest(FakeRouter r, int argument) {
    if (r.isActive() && !r.runningRequests.isEmpty()) {
      FakeRouter.RunningRequest run = r.runningRequests.get(argument % r.runningRequests.size());
      long used = argument / 8 % (run.reserved() + 1);
      r.finishRequest(run, used, now);
      deliveredByRequest.computeIfAbsent(run.id(), k -> new HashMap<>()).merge(r, used, Math::max);
    }
  }

  private void book(FakeRouter r, String id, long tokens) {
    if (r.isActive() && !r.bookings.isRunning(WORKSPACE, id) && r.reserve(tokens)) {
      send(r, r.bookings.start(WORKSPACE, id, "h", "cedar", tokens, now));
    }
  }

  private void sendBookedCall(FakeRouter r, int argument) {
    if (!r.isActive() || r.attemptsToSend.isEmpty()) {
      return;
    }
    long attempt = r.attemptsToSend.iterator().next();
    r.attemptsToSend.remove(attempt);
    String id = "";
    for (ControlCommand c : approvedStarts) {
      if (c instanceof ControlCommand.StartBooking s
          && s.router().equals(r.self)
          && s.attempt() == attempt) {
        id = s.requestId();
      }
    }
    BookingOutcome outcome =
        List.of(BookingOutcome.NOT_RUN, BookingOutcome.RAN, BookingOutcome.UNKNOWN)
            .get(argument % 3);
    if (outcome != BookingOutcome.NOT_RUN) {
      bookingsRun.merge(id, 1, Integer::sum);
    }
    send(r, r.bookings.finish(attempt, outcome, 200, "text/plain", "b2s=", now));
  }

  private void release(FakeRouter r) {
    if (!r.alive) {
      Intent intent = new Intent.ReleaseStranded(WORKSPACE, r.self);
      ControlReply reply = group.planAndConfirm(intent);
      assertThat(reply).isEqualTo(neverRestored.planAndConfirm(intent));
      released |= reply instanceof ControlReply.Planned;
    }
  }

  private void closeReplacedIncarnations(FakeRouter r) {
    Set<Incarnation> closed = new HashSet<>();
    for (FakeRouter x : allProcesses) {
      if (!List.of(currentRouters).contains(x)) {
        closed.add(x.self);
      }
    }
    r.transfers.close(closed, group.state().lastIndex());
  }

  /** Asserts the invariants that must hold after every step. */
  private void check() {
    BudgetView b = group.budget(WORKSPACE);
    assertThat(b.settled() + b.outstanding() + b.stranded() + b.unallotted())
        .as("the parts of the budget add up")
        .isEqualTo(b.paidIn());
    assertThat(b.unallotted()).as("unallotted tokens").isNotNegative();
    assertThat(b.settled()).as("settled").isLessThanOrEqualTo(b.paidIn());
    checkBookings();
    long deliveredTokens = checkBilling() + bookingCharges();
    maximumDelivered = Math.max(maximumDelivered, deliveredTokens);
    assertThat(deliveredTokens).as("tokens delivered").isLessThanOrEqualTo(b.paidIn());
    assertThat(deliveredTokens + b.unallotted() + spendable())
        .as("tokens delivered and still spendable")
        .isLessThanOrEqualTo(b.paidIn());
  }

  /** Returns the number of tokens that live processes, frozen ones included, may still deliver. */
  private long spendable() {
    long sum = 0;
    Set<FakeRouter> processes = new HashSet<>(allProcesses);
    for (FakeRouter r : processes) {
      if (r.alive) {
        sum += r.ledger.available(WORKSPACE);
        sum += r.runningRequests.stream().mapToLong(FakeRouter.RunningRequest::reserved).sum();
      }
    }
    return sum;
  }

  private long bookingCharges() {
    long sum = 0;
    for (Object o : (List<?>) group.state().query(new ControlQuery.Bookings(WORKSPACE, 1_000))) {
      Booking k = (Booking) o;
      sum += k.outcome() == BookingOutcome.NOT_RUN ? 0 : k.tokens();
    }
    return sum;
  }

  private void checkBookings() {
    for (Object o : (List<?>) group.state().query(new ControlQuery.Bookings(WORKSPACE, 1_000))) {
      Booking k = (Booking) o;
      int runs = bookingsRun.getOrDefault(k.requestId(), 0);
      assertThat(runs).as("runs of booking " + k.requestId()).isLessThanOrEqualTo(1);
      if (k.outcome() == BookingOutcome.NOT_RUN) {
        assertThat(runs).as("runs of a booking answered as not run").isZero();
      }
    }
  }

  /**
   * Returns the number of tokens delivered. Each request is counted once, with its billed tokens if
   * it is billed.
   */
  private long checkBilling() {
    Map<String, Long> billed = new HashMap<>();
    for (Object o : (List<?>) group.state().query(new ControlQuery.Billing(WORKSPACE, 10_000))) {
      BillingRecord r = (BillingRecord) o;
      assertThat(billed.put(r.requestId(), r.tokens())).as("one billing record").isNull();
    }
    Map<String, Integer> perId = new HashMap<>();
    charges.keySet().forEach(k -> perId.merge(k.substring(0, k.indexOf('@')), 1, Integer::sum));
    perId.forEach((id, n) -> assertThat(n).as("charges of request " + id).isEqualTo(1));
    delivered.clear();
    deliveredByRequest.forEach(
        (id, runs) ->
            runs.forEach(
                (router, used) -> {
                  // When an operator releases stranded tokens, the tokens that crashed routers
                  // delivered and never billed are written off.
                  if (router.alive || !released) {
                    delivered.merge(id, used, Math::max);
                  }
                }));
    delivered.putAll(billed);
    return delivered.values().stream().mapToLong(Long::longValue).sum();
  }
}
