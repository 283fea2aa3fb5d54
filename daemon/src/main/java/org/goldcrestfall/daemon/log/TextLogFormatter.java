package org.goldcrestfall.daemon.log;

import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** One line for each record: time, level, message; a stack trace follows where one is attached. */
final class TextLogFormatter extends Formatter {

  @Override
  public String format(LogRecord r) {
    String line = r.getInstant() + " " + r.getLevel() + " " + formatMessage(r) + "\n";
    return r.getThrown() == null ? line : line + Throwables.getStackTraceAsString(r.getThrown());
  }
}
