package org.goldcrestfall.daemon.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Hands records to a thread that formats and writes them, so that a stalled output blocks nobody.
 * The queue is bounded: a record that finds it full is dropped, and the number of dropped records
 * is written later.
 */
final class BoundedLogHandler extends Handler {

  private static final int QUEUE_RECORDS = 2_000;

  /** Lines are gathered for so long, so that the writer wakes up seldom. */
  private static final long GATHER_MILLIS = 100;

  /** The end of a process waits so long for its last lines. */
  private static final long CLOSE_MILLIS = 200;

  private static final long POLL_MILLIS = 500;

  /** Wakes the writer up at the end. */
  private static final LogRecord END = new LogRecord(Level.OFF, "");

  private final PrintStream out;
  private final Formatter formatter;
  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_RECORDS);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::run, "log-writer");
  private volatile boolean closed;

  BoundedLogHandler(PrintStream out, Formatter formatter) {
    this.out = out;
    this.formatter = formatter;
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord r) {
    if (isLoggable(r) && !queue.offer(r)) {
      dropped.incrementAndGet();
    }
  }

  private void run() {
    List<LogRecord> batch = new ArrayList<>();
    try {
      while (!closed || !queue.isEmpty()) {
        LogRecord first = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
        if (first == null) {
          continue;
        }
        if (!closed) {
          Thread.sleep(GATHER_MILLIS);
        }
        batch.add(first);
        queue.drainTo(batch);
        write(batch);
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(List<LogRecord> batch) {
    StringBuilder text = new StringBuilder();
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      text.append(
          formatter.format(new LogRecord(Level.WARNING, "log: dropped " + lost + " lines")));
    }
    batch.stream().filter(r -> r != END).forEach(r -> text.append(formatter.format(r)));
    out.print(text);
    out.flush();
  }

  @Override
  public void flush() {
    // The writer flushes after each batch.
  }

  /** Writes what is queued, but does not wait for a stalled output. */
  @Override
  public void close() {
    closed = true;
    if (!queue.offer(END)) {
      // The queue is full, so the writer is awake.
      dropped.incrementAndGet();
    }
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
