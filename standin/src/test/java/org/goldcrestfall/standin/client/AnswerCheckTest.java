package org.goldcrestfall.standin.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Flow;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.answer.CompletionJson;
import org.goldcrestfall.standin.answer.Prompt;

/** Tests that the checks of the load generator detect each kind of damage to an answer. */
class AnswerCheckTest {

  private static final int LENGTH = 12;
  private static final Prompt PROMPT = Prompt.ofUser("how thick is the hull");
  private static final CompletionJson JSON = new CompletionJson("id \"1\"", "hull-1");

  /** A subscription that ignores all demand. */
  private static final class NoSubscription implements Flow.Subscription {
    @Override
    public void request(long n) {}

    @Override
    public void cancel() {}
  }

  private static List<String> events(Prompt prompt) {
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < LENGTH; i++) {
      JSON.appendToken(out, i, Answer.to(prompt).token(i));
    }
    JSON.appendEnd(out, "length", prompt.tokenCount(), LENGTH);
    return new ArrayList<>(List.of(out.toString().split("\n\n")));
  }

  private static AnswerCheck check(List<String> events) {
    AnswerCheck check = new AnswerCheck(PROMPT, LENGTH);
    EventStreamSubscriber subscriber = new EventStreamSubscriber(check::onEvent);
    subscriber.onSubscribe(new NoSubscription());
    subscriber.onNext(
        List.of(ByteBuffer.wrap((String.join("\n\n", events) + "\n\n").getBytes(UTF_8))));
    subscriber.onComplete();
    return check;
  }

  @Example
  void wholeStreamIsAccepted() {
    AnswerCheck check = check(events(PROMPT));
    assertThat(check.problem()).isEmpty();
    assertThat(check.isComplete()).isTrue();
    assertThat(check.receivedTokens()).isEqualTo(LENGTH);
  }

  @Example
  void truncatedStreamIsNeitherWholeNorWrong() {
    List<String> events = events(PROMPT);
    AnswerCheck check = check(events.subList(0, 7));
    assertThat(check.isComplete()).isFalse();
    assertThat(check.isWrong()).isFalse();
  }

  @Property(tries = 50, seed = "21")
  void missingTokenIsWrong(@ForAll @IntRange(max = LENGTH - 1) int index) {
    List<String> events = events(PROMPT);
    events.remove(index);
    assertThat(check(events).isWrong()).isTrue();
  }

  @Property(tries = 50, seed = "22")
  void duplicatedTokenIsWrong(@ForAll @IntRange(max = LENGTH - 1) int index) {
    List<String> events = events(PROMPT);
    events.add(index, events.get(index));
    assertThat(check(events).isWrong()).isTrue();
  }

  @Property(tries = 50, seed = "23")
  void tokenOfAnotherAnswerIsWrong(@ForAll @IntRange(max = LENGTH - 1) int index) {
    List<String> events = events(PROMPT);
    events.set(index, events(Prompt.ofUser("how thick is the keel")).get(index));
    assertThat(check(events).isWrong()).isTrue();
  }

  @Example
  void tokensWithoutOffsetsAreCountedInOrder() {
    List<String> events = events(PROMPT);
    events.replaceAll(event -> event.replaceAll("\"offset\":\\d+,", ""));
    assertThat(check(events).isComplete()).isTrue();
    events.remove(3);
    assertThat(check(events).isWrong()).isTrue();
  }

  @Example
  void missingOrIncorrectUsageIsWrong() {
    List<String> events = events(PROMPT);
    events.set(LENGTH, events.get(LENGTH).replace("\"completion_tokens\":12", "\"x\":12"));
    assertThat(check(events).isWrong()).isTrue();
    events.remove(LENGTH);
    assertThat(check(events).isWrong()).isTrue();
  }

  @Example
  void errorEventEndsTheStreamWithItsKind() {
    List<String> events = events(PROMPT).subList(0, 3);
    events.add("data: {\"error\":{\"kind\":\"upstream_failed\",\"retry\":true}}");
    AnswerCheck check = check(events);
    assertThat(check.isComplete()).isFalse();
    assertThat(check.isWrong()).isFalse();
    assertThat(check.error().path("kind").asText()).isEqualTo("upstream_failed");
  }

  @Example
  void plainAnswerOfAnotherPromptIsWrong() {
    AnswerCheck own = new AnswerCheck(PROMPT, LENGTH);
    String text = Answer.to(PROMPT).text(0, LENGTH);
    own.onBody(JSON.completion(text, "length", PROMPT.tokenCount(), LENGTH));
    assertThat(own.isComplete()).isTrue();
    AnswerCheck other = new AnswerCheck(Prompt.ofUser("how thick is the keel"), LENGTH);
    other.onBody(JSON.completion(text, "length", PROMPT.tokenCount(), LENGTH));
    assertThat(other.isWrong()).isTrue();
  }

  @Property(tries = 100, seed = "24")
  void eventsAreReadAcrossBufferBoundaries(@ForAll long seed) {
    byte[] stream =
        (": comment\n\n" + String.join("\r\n\r\n", events(PROMPT)) + "\n").getBytes(UTF_8);
    AnswerCheck check = new AnswerCheck(PROMPT, LENGTH);
    EventStreamSubscriber subscriber = new EventStreamSubscriber(check::onEvent);
    subscriber.onSubscribe(new NoSubscription());
    Random random = new Random(seed);
    for (int from = 0; from < stream.length; ) {
      int length = Math.min(stream.length - from, 1 + random.nextInt(40));
      subscriber.onNext(List.of(ByteBuffer.wrap(stream, from, length)));
      from += length;
    }
    assertThat(check.isComplete()).isTrue();
  }
}
