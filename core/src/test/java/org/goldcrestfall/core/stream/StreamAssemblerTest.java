package org.goldcrestfall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards P3: a caller receives its own answer whole and in order, whatever the engines do. */
final class StreamAssemblerTest {

  private static String token(String request, long offset) {
    return request + ":" + offset + " ";
  }

  private static StreamEvent event(int attempt, String request, long offset, int length) {
    return offset < length
        ? new StreamEvent.Token(attempt, request, offset, token(request, offset))
        : new StreamEvent.End(attempt, request, length);
  }

  /**
   * Engines die at any point; events are lost, duplicated, delayed past the next attempt, and
   * crossed with those of another request under the same attempt number.
   */
  @Property(tries = 1_000, seed = "44")
  void answerArrivesWholeAndInOrderUnderFaults(
      @ForAll long seed, @ForAll @IntRange(max = 40) int length) {
    Random random = new Random(seed);
    StreamAssembler assembler = new StreamAssembler("own");
    List<String> received = new ArrayList<>();
    List<StreamEvent> old = new ArrayList<>();
    boolean whole = false;
    for (int tries = 0; !whole; tries++) {
      AttemptStart start = assembler.startAttempt(random.nextBoolean());
      // Faults stop after 200 attempts, so that each case ends.
      boolean faults = tries < 200;
      long offset = start.resumeFrom();
      boolean over = false;
      while (!over) {
        int fault = faults ? random.nextInt(24) : 99;
        StreamEvent next = event(start.attempt(), "own", offset, length);
        StreamEvent arrives =
            switch (fault) {
              case 0 -> new StreamEvent.Broken(start.attempt(), "own");
              case 1 -> event(start.attempt(), "own", Math.min(offset + 1, length), length);
              case 2 -> event(start.attempt(), "other", offset, length);
              case 3 -> old.isEmpty() ? next : old.get(random.nextInt(old.size()));
              case 4 -> event(start.attempt(), "own", random.nextInt(length + 1), length);
              case 5 ->
                  new StreamEvent.Token(start.attempt(), "own", offset, token("other", offset));
              default -> next;
            };
        if (fault == 5 && offset >= assembler.passedOn()) {
          continue; // A crossed text under the own id is only detectable where it was passed on.
        }
        StreamResult result = assembler.onEvent(arrives);
        old.add(next);
        if (result == StreamResult.PASS) {
          received.add(((StreamEvent.Token) arrives).text());
        }
        offset += arrives == next ? 1 : 0;
        whole = result == StreamResult.COMPLETE;
        over = whole || result.attemptFailed();
        if (!over && offset > length) {
          over = assembler.onEvent(new StreamEvent.Broken(start.attempt(), "own")).attemptFailed();
        }
      }
    }
    List<String> expected = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      expected.add(token("own", i));
    }
    assertThat(received).isEqualTo(expected);
  }

  /** Guards against an answer that ends early because its last tokens were lost. */
  @Example
  void endBeforeLastTokenIsGap() {
    StreamAssembler assembler = new StreamAssembler("a");
    int attempt = assembler.startAttempt(true).attempt();
    assertThat(assembler.onEvent(event(attempt, "a", 0, 3))).isEqualTo(StreamResult.PASS);
    assertThat(assembler.onEvent(event(attempt, "a", 3, 3))).isEqualTo(StreamResult.GAP);
    assertThat(assembler.startAttempt(true).resumeFrom()).isEqualTo(1);
    assertThat(assembler.startAttempt(false).resumeFrom()).isZero();
  }

  /** Guards against a join of two texts when a restart generates another answer. */
  @Example
  void restartWithOtherTextIsNoticed() {
    StreamAssembler assembler = new StreamAssembler("a");
    int first = assembler.startAttempt(false).attempt();
    assembler.onEvent(new StreamEvent.Token(first, "a", 0, "yes"));
    int second = assembler.startAttempt(false).attempt();
    assertThat(assembler.onEvent(new StreamEvent.Token(second, "a", 0, "no")))
        .isEqualTo(StreamResult.DIVERGED);
  }

  /** Guards against the text and the end of an earlier attempt that arrive after its successor. */
  @Example
  void lateEventsOfEarlierAttemptAreDropped() {
    StreamAssembler assembler = new StreamAssembler("a");
    int first = assembler.startAttempt(true).attempt();
    int second = assembler.startAttempt(true).attempt();
    assertThat(assembler.onEvent(new StreamEvent.Token(first, "a", 0, "no")))
        .isEqualTo(StreamResult.LATE);
    assertThat(assembler.onEvent(new StreamEvent.Broken(first, "a"))).isEqualTo(StreamResult.LATE);
    assertThat(assembler.onEvent(new StreamEvent.Token(second, "a", 0, "yes")))
        .isEqualTo(StreamResult.PASS);
    assertThat(assembler.onEvent(new StreamEvent.End(first, "a", 1))).isEqualTo(StreamResult.LATE);
  }
}
