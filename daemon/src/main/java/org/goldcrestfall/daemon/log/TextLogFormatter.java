package org.goldcrestfall.daemon.log;

import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each record as a line with time, level and message, and the stack trace if any. */
final class TextLogFormatter extends Formatter {

  @Override
  public String format(LogRecord r) {
    String line = r.getInstant() + " " + r.getLevel() + " " + formatMessage(r) + "\n";
    return r.getThrown() == null ? line : line + Throwables.getStackTraceAsString(r.getThrown());
  }
}
