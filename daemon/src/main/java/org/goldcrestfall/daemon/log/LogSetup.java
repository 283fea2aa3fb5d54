package org.goldcrestfall.daemon.log;

import java.io.OutputStream;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Sends all log records of the process, including those of libraries, to one handler. */
public final class LogSetup {

  private LogSetup() {}

  /**
   * Replaces the log handlers of the process by one that writes JSON lines to standard output from
   * a background thread. While its queue is full, records are dropped and counted.
   */
  public static void installNonBlocking(String level) {
    install(new BoundedLogHandler(System.out, new JsonLogFormatter()), level);
  }

  /**
   * Replaces the log handlers of the process by one that writes to standard error; {@code format}
   * is {@code text} or {@code json}.
   */
  public static void install(String format, String level) {
    Formatter formatter = format.equals("json") ? new JsonLogFormatter() : new TextLogFormatter();
    install(new FlushingHandler(System.err, formatter), level);
  }

  private static void install(Handler handler, String level) {
    LogManager.getLogManager().reset();
    Level parsedLevel = Level.parse(level);
    handler.setLevel(parsedLevel);
    Logger root = Logger.getLogger("");
    root.addHandler(handler);
    root.setLevel(Level.WARNING);
    // Libraries stay at WARNING: their INFO messages do not follow this project's log format.
    Logger projectLogger = Logger.getLogger("org.goldcrestfall");
    projectLogger.setLevel(parsedLevel);
    STRONG_REFERENCE[0] = projectLogger;
    installedHandler = handler;
    if (LogManager.getLogManager() instanceof DrainingLogManager m) {
      m.markHandlerInstalled();
    }
  }

  /** Closes the handler, which writes queued records; to be called at the end of the process. */
  public static void close() {
    if (installedHandler != null) {
      installedHandler.close();
    }
  }

  // The log manager holds only weak references; a garbage-collected logger would lose its level.
  private static final Logger[] STRONG_REFERENCE = new Logger[1];

  private static volatile Handler installedHandler;

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
