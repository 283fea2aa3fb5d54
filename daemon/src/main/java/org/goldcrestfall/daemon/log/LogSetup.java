package org.goldcrestfall.daemon.log;

import java.io.OutputStream;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Sends all log records, also those of libraries, to standard error in one format. */
public final class LogSetup {

  private LogSetup() {}

  /**
   * Replaces the log handlers of the process by one that writes JSON lines to standard output from
   * a thread of its own. A line that finds its queue full is dropped and counted.
   */
  public static void installBounded(String level) {
    install(new BoundedLogHandler(System.out, new JsonLogFormatter()), level);
  }

  /** Replaces the log handlers of the process; {@code format} is {@code text} or {@code json}. */
  public static void install(String format, String level) {
    Formatter formatter = format.equals("json") ? new JsonLogFormatter() : new TextLogFormatter();
    install(new FlushingHandler(System.err, formatter), level);
  }

  private static void install(Handler h, String level) {
    LogManager.getLogManager().reset();
    Level l = Level.parse(level);
    h.setLevel(l);
    Logger root = Logger.getLogger("");
    root.addHandler(h);
    root.setLevel(Level.WARNING);
    // Libraries stay at WARNING: their INFO lines do not follow the form of this project's log.
    Logger own = Logger.getLogger("org.goldcrestfall");
    own.setLevel(l);
    KEEP[0] = own;
    installed = h;
    if (LogManager.getLogManager() instanceof DrainingLogManager m) {
      m.markInstalled();
    }
  }

  /** Writes what is queued, at the end of the process. */
  public static void close() {
    if (installed != null) {
      installed.close();
    }
  }

  // The log manager holds loggers weakly; without this reference the level would be lost.
  private static final Logger[] KEEP = new Logger[1];

  private static volatile Handler installed;

  private static final class FlushingHandler extends StreamHandler {

    FlushingHandler(OutputStream out, Formatter formatter) {
      super(out, formatter);
    }

    @Override
    public synchronized void publish(LogRecord r) {
      super.publish(r);
      flush();
    }
  }
}
