package org.goldcrestfall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Prints JSON objects as the rows of a table. A column is a field name or a dotted path. */
final class Table {

  private static final String COLUMN_SEPARATOR = "  ";

  private final List<String> columns;

  Table(List<String> columns) {
    this.columns = List.copyOf(columns);
  }

  void print(PrintStream out, Iterable<JsonNode> objects) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(columns);
    for (JsonNode object : objects) {
      rows.add(columns.stream().map(column -> cell(object, column)).toList());
    }
    int[] widths = new int[columns.size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        line.append(row.get(i))
            .append(" ".repeat(widths[i] - row.get(i).length()))
            .append(COLUMN_SEPARATOR);
      }
      out.println(line.toString().stripTrailing());
    }
  }

  /** Returns the text of a field: {@code -} if it is absent, a UTC time for {@code at_millis}. */
  static String cell(JsonNode object, String column) {
    JsonNode value = object.at("/" + column.replace('.', '/'));
    if (value.isMissingNode() || value.isNull()) {
      return "-";
    }
    if (column.equals("at_millis")) {
      return Instant.ofEpochMilli(value.asLong()).toString();
    }
    return value.isValueNode() ? value.asText() : value.toString();
  }
}
