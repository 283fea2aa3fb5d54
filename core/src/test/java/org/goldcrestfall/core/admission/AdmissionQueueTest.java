package org.goldcrestfall.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.ExecutionState;

/** Guards against missed deadlines, disregarded shares, exceeded bounds and lost requests. */
final class AdmissionQueueTest {

  private static final ReservedShares SHARES =
      new ReservedShares(Map.of("quick", 400, "patient", 300));

  private static QueuedRequest quick(String id, long deadlineMillis, long holdMillis) {
    return new QueuedRequest(id, "quick", 1_000, 10, deadlineMillis, 0, holdMillis, 100);
  }

  private static QueuedRequest patient(String id, long deadlineMillis, long holdMillis) {
    return new QueuedRequest(id, "patient", 200, 1, deadlineMillis, 0, holdMillis, 200);
  }

  /**
   * Guards against requests that are lost, polled twice or both polled and refused, against queues
   * that exceed their bounds, and against polls that exceed the usable slots outside the reserved
   * shares. Offers, polls, completions, cancellations and expiries come in random order while the
   * number of usable slots changes.
   */
  @Property(tries = 300, seed = "46")
  void everyOfferEndsOnceWithinBounds(@ForAll long seed) {
    Random random = new Random(seed);
    AdmissionQueue queue = new AdmissionQueue(12, 1_500, SHARES);
    Set<String> waitingIds = new HashSet<>();
    List<String> running = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < 300; i++) {
      now += random.nextInt(100);
      double slots = random.nextInt(6);
      switch (random.nextInt(6)) {
        case 0, 1 -> {
          boolean isQuick = random.nextBoolean();
          String id = (isQuick ? "q" : "p") + i;
          long holdMillis = 1 + random.nextInt(800);
          QueuedRequest request =
              isQuick
                  ? quick(id, now + random.nextInt(900) - 50, holdMillis)
                  : patient(id, now + random.nextInt(5_000), holdMillis);
          waitingIds.add(id);
          removeRefused(queue.offer(request, slots, now), waitingIds);
        }
        case 2 -> {
          long at = now;
          queue
              .poll(slots, now)
              .ifPresent(
                  r -> {
                    // Only a class below its reserved share may exceed the usable slots.
                    double usable = Math.max(1, slots);
                    long same =
                        running.stream().filter(x -> x.charAt(0) == r.id().charAt(0)).count();
                    assertThat(
                            queue.running() <= usable
                                || same < SHARES.reserved(r.patienceClass(), usable))
                        .isTrue();
                    assertThat(waitingIds.remove(r.id())).isTrue();
                    running.add(r.id());
                  });
        }
        case 3 -> {
          if (!running.isEmpty()) {
            queue.onFirstToken(running.get(random.nextInt(running.size())));
            queue.complete(running.remove(random.nextInt(running.size())));
          }
        }
        case 4 -> {
          String id = (random.nextBoolean() ? "q" : "p") + random.nextInt(i + 1);
          assertThat(queue.cancel(id)).isEqualTo(waitingIds.remove(id));
        }
        default -> removeRefused(queue.expire(slots, now), waitingIds);
      }
      assertThat(queue.size()).isEqualTo(waitingIds.size()).isLessThanOrEqualTo(12);
      long bytes = waitingIds.stream().mapToLong(id -> id.startsWith("q") ? 100 : 200).sum();
      assertThat(queue.bytes()).isEqualTo(bytes).isLessThanOrEqualTo(1_500);
    }
  }

  private static void removeRefused(List<Refusal> refusals, Set<String> waitingIds) {
    for (Refusal r : refusals) {
      assertThat(waitingIds.remove(r.request().id())).isTrue();
      assertThat(r.kind().executionState()).isEqualTo(ExecutionState.NOT_RUN);
    }
  }

  /**
   * Guards against admitted requests that start after their deadline although the estimates are
   * exact, and against quick requests that wait longer than until a slot of their own share is
   * free, while patient requests are always queued.
   */
  @Property(tries = 200, seed = "47")
  void admittedRequestsMeetDeadlinesAndQuickOnesAreNotDelayed(@ForAll long seed) {
    Random random = new Random(seed);
    AdmissionQueue queue = new AdmissionQueue(200, 1_000_000, SHARES);
    Map<String, Long> ends = new HashMap<>();
    Map<String, QueuedRequest> waiting = new HashMap<>();
    int patientStarts = 0;
    for (long now = 0; now < 30_000; now += 10) {
      final long at = now;
      ends.entrySet().stream()
          .filter(e -> e.getValue() <= at)
          .map(Map.Entry::getKey)
          .toList()
          .forEach(
              id -> {
                ends.remove(id);
                queue.complete(id);
              });
      if (random.nextInt(30) == 0) {
        QueuedRequest r = patient("p" + now, now + 20_000, 10 * (100 + random.nextInt(200)));
        waiting.put(r.id(), r);
        queue.offer(r, 10, now).forEach(x -> waiting.remove(x.request().id()));
      }
      if (random.nextInt(15) == 0) {
        QueuedRequest r = quick("q" + now, now + 2_000, 10 * (5 + random.nextInt(20)));
        waiting.put(r.id(), r);
        queue.offer(r, 10, now).forEach(x -> waiting.remove(x.request().id()));
      }
      for (Optional<QueuedRequest> next; (next = queue.poll(10, now)).isPresent(); ) {
        QueuedRequest r = next.get();
        waiting.remove(r.id());
        queue.onFirstToken(r.id());
        ends.put(r.id(), now + r.holdMillis());
        patientStarts += r.id().startsWith("p") ? 1 : 0;
      }
      for (QueuedRequest r : waiting.values()) {
        assertThat(now).as(r.id()).isLessThanOrEqualTo(r.latestStartMillis());
        if (r.patienceClass().equals("quick")) {
          assertThat(now - (r.deadlineMillis() - 2_000)).as(r.id()).isLessThanOrEqualTo(500);
        }
      }
    }
    assertThat(patientStarts).isPositive();
  }

  /**
   * Guards against the refusal of expensive or urgent requests while cheaper or later ones wait.
   */
  @Example
  void lowestPriceAndLatestDeadlineAreRefusedFirst() {
    AdmissionQueue queue = new AdmissionQueue(2, 1_000, new ReservedShares(Map.of()));
    assertThat(queue.offer(patient("p1", 90_000, 10), 0, 0)).isEmpty();
    assertThat(queue.offer(patient("p2", 80_000, 10), 0, 0)).isEmpty();
    assertThat(queue.offer(quick("q1", 99_000, 10), 0, 0))
        .containsExactly(new Refusal(patient("p1", 90_000, 10), ErrorKind.OVERLOADED));
    assertThat(queue.offer(patient("p3", 95_000, 10), 0, 0))
        .containsExactly(new Refusal(patient("p3", 95_000, 10), ErrorKind.OVERLOADED));
    assertThat(queue.offer(quick("late", 5, 10), 0, 6))
        .containsExactly(new Refusal(quick("late", 5, 10), ErrorKind.DEADLINE_UNREACHABLE));
  }

  /** Guards against the starvation of patient requests by quick ones that fill all slots. */
  @Example
  void patientClassReceivesItsReservedShare() {
    AdmissionQueue queue = new AdmissionQueue(500, 1_000_000, SHARES);
    queue.offer(patient("p", 1_000_000, 1_000), 4, 0);
    for (int i = 0; i < 100; i++) {
      queue.offer(quick("q" + i, 900_000, 1_000), 4, 0);
    }
    Set<String> first = new HashSet<>();
    for (int i = 0; i < 4; i++) {
      first.add(queue.poll(4, 0).orElseThrow().id());
    }
    assertThat(first).contains("p");
  }

  /** Guards against quick requests that wait at an engine behind many long prompts in prefill. */
  @Example
  void patientPromptsInPrefillAreLimited() {
    AdmissionQueue queue = new AdmissionQueue(100, 1_000_000, SHARES);
    queue.offer(quick("q", 9_000, 10), 16, 0);
    for (int i = 0; i < 5; i++) {
      queue.offer(patient("p" + i, 900_000 + i, 1_000), 16, 0);
    }
    assertThat(queue.poll(16, 0).orElseThrow().id()).isEqualTo("q");
    assertThat(queue.poll(16, 0).orElseThrow().id()).isEqualTo("p0");
    assertThat(queue.poll(16, 0).orElseThrow().id()).isEqualTo("p1");
    assertThat(queue.poll(16, 0)).isEmpty();
    queue.onFirstToken("p0");
    assertThat(queue.poll(16, 0).orElseThrow().id()).isEqualTo("p2");
    queue.complete("p1");
    assertThat(queue.poll(16, 0).orElseThrow().id()).isEqualTo("p3");
  }

  /**
   * Guards against patient requests that take all slots in a pause between bursts of quick ones.
   */
  @Example
  void slotsForExpectedQuickRequestsAreKeptFree() {
    AdmissionQueue queue =
        new AdmissionQueue(100, 1_000_000, new ReservedShares(Map.of("patient", 200)));
    for (int i = 0; i < 40; i++) {
      queue.offer(quick("q" + i, 90_000, 2_000), 10, i * 500);
      queue.complete(queue.poll(10, i * 500).orElseThrow().id());
    }
    for (int i = 0; i < 10; i++) {
      queue.offer(patient("p" + i, 900_000, 9_000), 10, 20_000);
    }
    int started = 0;
    for (var next = queue.poll(10, 20_000); next.isPresent(); next = queue.poll(10, 20_000)) {
      queue.onFirstToken(next.get().id());
      started++;
    }
    // Two for the reserved share, and at most two of the slots that quick requests do not need.
    assertThat(started).isBetween(2, 4);
  }

  /** Guards against requests that wait until a deadline that they cannot meet. */
  @Example
  void requestsThatCannotMeetTheirDeadlineAreRefusedOnArrival() {
    AdmissionQueue queue = new AdmissionQueue(100, 1_000_000, SHARES);
    List<Refusal> refusals = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      refusals.addAll(queue.offer(patient("p" + i, 15_000 + i, 10_000), 4, 0));
    }
    // Four start at once and four after 10 s; the other two would start at 20 s.
    assertThat(refusals).extracting(r -> r.request().id()).containsExactly("p8", "p9");
    assertThat(refusals).allMatch(r -> r.kind() == ErrorKind.OVERLOADED);
  }
}
