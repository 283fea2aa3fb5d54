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
 * Replays recorded traces of commands and queries with stated replies and answers, from the start
 * and with a restart from a snapshot before each line. Guards the stored form of commands, replies
 * and snapshots as well as the outcomes of the named cases.
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
  void repliesAreAsRecorded(@ForAll("traces") String trace, @ForAll boolean restarts)
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
        assertThat(written(reply)).as(note).isEqualTo(n.get("reply"));
      } else {
        Object answer = state.query(JSON.treeToValue(n.get("query"), ControlQuery.class));
        assertThat(written(answer)).as(note).isEqualTo(n.get("answer"));
      }
    }
  }

  private static JsonNode written(Object value) throws IOException {
    return JSON.readTree(JSON.writeValueAsString(value));
  }
}
