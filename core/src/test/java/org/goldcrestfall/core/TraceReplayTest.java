package org.goldcrestfall.core;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Splitter;
import com.google.common.io.Resources;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.goldcrestfall.core.admission.AdmissionQueue;
import org.goldcrestfall.core.admission.QueuedRequest;
import org.goldcrestfall.core.admission.Refusal;
import org.goldcrestfall.core.admission.ReservedShares;
import org.goldcrestfall.core.stream.AttemptStart;
import org.goldcrestfall.core.stream.StreamAssembler;
import org.goldcrestfall.core.stream.StreamEvent;
import org.goldcrestfall.core.stream.StreamResult;

/** Replays trace files, in which each line states an event and its expected outcome. */
final class TraceReplayTest {

  private static void replay(String file, Function<List<String>, String> apply) throws IOException {
    int lineNumber = 0;
    for (String line : Resources.readLines(Resources.getResource("traces/" + file), UTF_8)) {
      lineNumber++;
      if (line.startsWith("#")) {
        continue;
      }
      List<String> eventAndOutcome = Splitter.on("=>").trimResults().splitToList(line);
      List<String> words = Splitter.on(' ').omitEmptyStrings().splitToList(eventAndOutcome.get(0));
      assertThat(apply.apply(words))
          .as("%s:%s %s", file, lineNumber, line)
          .isEqualTo(eventAndOutcome.get(1));
    }
    assertThat(lineNumber).isGreaterThan(10);
  }

  /**
   * Guards against a caller that receives an incomplete, reordered or foreign answer when engines
   * fail, a restarted attempt generates other text, or events arrive late, twice or for another
   * request.
   */
  @Example
  void streamSurvivesEngineFailures() throws IOException {
    StreamAssembler assembler = new StreamAssembler("own");
    StringJoiner answer = new StringJoiner(" ");
    replay("stream-engine-death.trace", words -> stream(assembler, answer, words));
  }

  private static String stream(StreamAssembler assembler, StringJoiner answer, List<String> words) {
    if (words.get(0).equals("start")) {
      AttemptStart start = assembler.startAttempt(words.get(1).equals("resume"));
      return "attempt " + start.attempt() + " from " + start.resumeFrom();
    }
    if (words.get(0).equals("answer")) {
      return answer.toString();
    }
    int attempt = Integer.parseInt(words.get(1));
    String id = words.get(2);
    StreamEvent event =
        switch (words.get(0)) {
          case "token" ->
              new StreamEvent.Token(attempt, id, Long.parseLong(words.get(3)), words.get(4));
          case "end" -> new StreamEvent.End(attempt, id, Long.parseLong(words.get(3)));
          default -> new StreamEvent.Broken(attempt, id);
        };
    StreamResult result = assembler.onEvent(event);
    if (result == StreamResult.PASS) {
      answer.add(words.get(4));
    }
    return result.name();
  }

  /**
   * Guards the order of dispatch and refusal during a burst of quick requests over queued patient
   * ones.
   */
  @Example
  void burstOfQuickRequestsOverQueuedPatientOnes() throws IOException {
    AdmissionQueue queue =
        new AdmissionQueue(6, 10_000, new ReservedShares(Map.of("quick", 500, "patient", 250)));
    long[] now = {0};
    double[] slots = {0};
    replay(
        "admission-overload.trace",
        words -> {
          String argument = words.size() > 1 ? words.get(1) : "";
          switch (words.get(0)) {
            case "slots" -> slots[0] = Double.parseDouble(argument);
            case "at" -> now[0] = Long.parseLong(argument);
            case "first" -> queue.onFirstToken(argument);
            case "complete" -> queue.complete(argument);
            case "cancel" -> {
              return queue.cancel(argument) ? "yes" : "no";
            }
            case "poll" -> {
              return queue.poll(slots[0], now[0]).map(QueuedRequest::id).orElse("none");
            }
            case "expire" -> {
              return refusals(queue.expire(slots[0], now[0]));
            }
            default -> {
              return refusals(queue.offer(request(words), slots[0], now[0]));
            }
          }
          return "ok";
        });
  }

  private static QueuedRequest request(List<String> words) {
    boolean quick = words.get(2).equals("quick");
    long deadlineMillis = Long.parseLong(words.get(3));
    long holdMillis = Long.parseLong(words.get(4));
    return new QueuedRequest(
        words.get(1),
        words.get(2),
        quick ? 1_000 : 200,
        quick ? 10 : 1,
        deadlineMillis,
        0,
        holdMillis,
        100);
  }

  private static String refusals(List<Refusal> refusals) {
    StringJoiner text = new StringJoiner(", ").setEmptyValue("queued");
    refusals.forEach(r -> text.add(r.request().id() + " " + r.kind()));
    return text.toString();
  }
}
