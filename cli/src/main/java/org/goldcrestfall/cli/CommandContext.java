package org.goldcrestfall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;

/** The environment that a command runs in: client, output format and output stream. */
record CommandContext(
    ObjectMapper mapper, AdminClient client, boolean jsonOutput, PrintStream out) {

  ObjectNode newObject() {
    return mapper.createObjectNode();
  }

  /** Prints the response as JSON, or the objects of its list {@code field} as a table. */
  void printList(JsonNode response, String field, List<String> columns) {
    if (jsonOutput) {
      out.println(response);
      return;
    }
    new Table(columns).print(out, response.path(field));
  }

  /** Prints the response as JSON, or as a table with one row. */
  void printObject(JsonNode response, List<String> columns) {
    if (jsonOutput) {
      out.println(response);
      return;
    }
    new Table(columns).print(out, List.of(response));
  }
}
