package org.goldcrestfall.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Replays recorded traces of commands and queries and compares the replies with the recorded ones,
 * with and without restoring the state from a snapshot before each line. The test fails if the JSON
 * form of commands, replies or snapshots or the outcome of a recorded case changes.
 */
final class RecordedTraceTest {

  private static final ObjectMapper JSON = new ObjectMapper();

  @Provide
  Arbitrary<String> traces() {
    return Arbitraries.of(
        "retry-through-another-router",
        "booking-late-copies",
        "partition-transfer-and-proof",
        "two-operators");
  }

  @Property
  void repliesMatchTheRecordedTrace(@ForAll("traces") String trace, @ForAll boolean restarts)
      throws IOException {
    ControlState state = new ControlState();
    for (String line :
        Files.readAllLines(Path.of("src/test/resources/traces/" + trace + ".jsonl"))) {
      if (restarts) {
        String snapshot = JSON.writeValueAsString(state.snapshot());
        state = ControlState.restore(JSON.readValue(snapshot, ControlSnapshot.class));
      }
      JsonNode n = JSON.readTree(line);
      String note = trace + ": " + n.get("note").asText();
      if (n.has("command")) {
        ControlCommand c = JSON.treeToValue(n.get("command"), ControlCommand.class);
        ControlReply reply = state.apply(state.lastIndex() + 1, c);
        assertThat(toJsonTree(reply)).as(note).isEqualTo(n.get("reply"));
      } else {
        Object answer = state.query(JSON.treeToValue(n.get("query"), ControlQuery.class));
        assertThat(toJsonTree(answer)).as(note).isEqualTo(n.get("answer"));
      }
    }
  }

  private static JsonNode toJsonTree(Object value) throws IOException {
    return JSON.readTree(JSON.writeValueAsString(value));
  }
}
