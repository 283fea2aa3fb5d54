package org.goldcrestfall.daemon.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.base.Throwables;
import java.io.IOException;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each record as a JSON object on one line: time, level, part (the prefix of the message,
 * or {@code library} without one), message and the stack trace of an attached exception as error.
 */
final class JsonLogFormatter extends Formatter {

  private static final JsonFactory JSON = new JsonFactory();
  private static final int MAX_PART_CHARS = 16;

  @Override
  public String format(LogRecord r) {
    String message = formatMessage(r);
    int prefixLength = message.indexOf(": ");
    boolean hasPart =
        prefixLength > 0
            && prefixLength <= MAX_PART_CHARS
            && message.indexOf(' ') == prefixLength + 1;
    StringWriter line = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(line)) {
      json.writeStartObject();
      json.writeStringField("time", r.getInstant().toString());
      json.writeStringField("level", r.getLevel().getName());
      json.writeStringField("part", hasPart ? message.substring(0, prefixLength) : "library");
      json.writeStringField("message", hasPart ? message.substring(prefixLength + 2) : message);
      if (r.getThrown() != null) {
        json.writeStringField("error", Throwables.getStackTraceAsString(r.getThrown()));
      }
      json.writeEndObject();
    } catch (IOException e) {
      return "{\"level\":\"SEVERE\",\"message\":\"log record cannot be written\"}\n";
    }
    return line.append('\n').toString();
  }
}
