package org.goldcrestfall.daemon.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each record as a JSON object on one line: time, level, part (the prefix of the message,
 * or {@code library} without one), message and the stack trace of an attached exception as error.
 */
final class JsonLogFormatter extends Formatter {

  private static final JsonMapper MAPPER = new JsonMapper();
  private static final int MAX_PART_CHARS = 16;

  @Override
  public String format(LogRecord r) {
    String message = formatMessage(r);
    int prefixLength = message.indexOf(": ");
    boolean hasPart =
        prefixLength > 0
            && prefixLength <= MAX_PART_CHARS
            && message.indexOf(' ') == prefixLength + 1;
    ObjectNode n = MAPPER.createObjectNode();
    n.put("time", r.getInstant().toString());
    n.put("level", r.getLevel().getName());
    n.put("part", hasPart ? message.substring(0, prefixLength) : "library");
    n.put("message", hasPart ? message.substring(prefixLength + 2) : message);
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
