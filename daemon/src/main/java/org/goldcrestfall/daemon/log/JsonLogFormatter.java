package org.goldcrestfall.daemon.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** One JSON object a line: time, level, part (the fixed prefix of the message), message, error. */
final class JsonLogFormatter extends Formatter {

  private static final JsonMapper MAPPER = new JsonMapper();
  private static final int MAX_PART_CHARS = 16;

  @Override
  public String format(LogRecord r) {
    String message = formatMessage(r);
    int i = message.indexOf(": ");
    boolean hasPart = i > 0 && i <= MAX_PART_CHARS && message.indexOf(' ') == i + 1;
    ObjectNode n = MAPPER.createObjectNode();
    n.put("time", r.getInstant().toString());
    n.put("level", r.getLevel().getName());
    n.put("part", hasPart ? message.substring(0, i) : "library");
    n.put("message", hasPart ? message.substring(i + 2) : message);
    if (r.getThrown() != null) {
      n.put("error", Throwables.getStackTraceAsString(r.getThrown()));
    }
    try {
      return MAPPER.writeValueAsString(n) + "\n";
    } catch (JsonProcessingException e) {
      return "{\"level\":\"SEVERE\",\"message\":\"log record cannot be written\"}\n";
    }
  }
}
