package org.goldcrestfall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Verifies that a caller receives its own answer complete and in order, whatever the engines do.
 */
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
   * Guards against lost, repeated or wrong tokens when engines fail at any point, and events are
   * lost, duplicated, delayed past the next attempt, or belong to another request under the same
   * attempt number.
   */
  @Property(tries = 1_000, seed = "44")
  void answerIsCompleteAndInOrderDespiteFaults(
      @ForAll long seed, @ForAll @IntRange(max = 40) int length) {
    Random random = new Random(seed);
    StreamAssembler assembler = new StreamAssembler("own");
    List<String> received = new ArrayList<>();
    List<StreamEvent> earlierEvents = new ArrayList<>();
    boolean complete = false;
    for (int tries = 0; !complete; tries++) {
      AttemptStart start = assembler.startAttempt(random.nextBoolean());
      // Faults stop after 200 attempts, so that each case ends.
      boolean faults = tries < 200;
      long offset = start.resumeFrom();
      boolean over = false;
      while (!over) {
        int fault = faults ? random.nextInt(24) : 99;
        StreamEvent next = event(start.attempt(), "own", offset, length);
        StreamEvent arriving =
            switch (fault) {
              case 0 -> new StreamEvent.Broken(start.attempt(), "own");
              case 1 -> event(start.attempt(), "own", Math.min(offset + 1, length), length);
              case 2 -> event(start.attempt(), "other", offset, length);
              case 3 ->
                  earlierEvents.isEmpty()
                      ? next
                      : earlierEvents.get(random.nextInt(earlierEvents.size()));
              case 4 -> event(start.attempt(), "own", random.nextInt(length + 1), length);
              case 5 ->
                  new StreamEvent.Token(start.attempt(), "own", offset, token("other", offset));
              default -> next;
            };
        if (fault == 5 && offset >= assembler.forwardedTokens()) {
          continue; // A wrong text under the right id is only detectable at forwarded offsets.
        }
        StreamResult result = assembler.onEvent(arriving);
        earlierEvents.add(next);
        if (result == StreamResult.PASS) {
          received.add(((StreamEvent.Token) arriving).text());
        }
        offset += arriving == next ? 1 : 0;
        complete = result == StreamResult.COMPLETE;
        over = complete || result.attemptFailed();
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

  /** Guards against a mixture of two texts when a restart generates another answer. */
  @Example
  void restartWithOtherTextIsDetected() {
    StreamAssembler assembler = new StreamAssembler("a");
    int first = assembler.startAttempt(false).attempt();
    assembler.onEvent(new StreamEvent.Token(first, "a", 0, "yes"));
    int second = assembler.startAttempt(false).attempt();
    assertThat(assembler.onEvent(new StreamEvent.Token(second, "a", 0, "no")))
        .isEqualTo(StreamResult.DIVERGED);
  }

  /**
   * Guards against tokens and ends of an earlier attempt that arrive after the next one has
   * started.
   */
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
