package org.goldcrestfall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;

/** What a command needs to run: the client, the form of the output and where to print. */
record Session(ObjectMapper mapper, AdminClient client, boolean json, PrintStream out) {

  ObjectNode object() {
    return mapper.createObjectNode();
  }

  /** Prints the answer as it came, or the objects of its list {@code field} as a table. */
  void printList(JsonNode answer, String field, List<String> columns) {
    if (json) {
      out.println(answer);
      return;
    }
    new Table(columns).print(out, answer.path(field));
  }

  /** Prints the answer as it came, or as a table of one row. */
  void printObject(JsonNode answer, List<String> columns) {
    if (json) {
      out.println(answer);
      return;
    }
    new Table(columns).print(out, List.of(answer));
  }
}
