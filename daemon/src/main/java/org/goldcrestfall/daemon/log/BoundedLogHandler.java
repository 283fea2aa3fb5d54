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
 * Queues records for a background thread that formats and writes them, so that a stalled output
 * does not block the threads that log. The queue is bounded: while it is full, records are dropped,
 * and their number is written with the next batch.
 */
final class BoundedLogHandler extends Handler {

  private static final int QUEUE_CAPACITY = 2_000;

  /** Delay that collects records into a batch, so that the writer wakes up less often. */
  private static final long BATCH_DELAY_MILLIS = 100;

  /** Longest time that {@link #close} waits for the last records to be written. */
  private static final long CLOSE_TIMEOUT_MILLIS = 200;

  private static final long POLL_TIMEOUT_MILLIS = 500;

  /** Wakes up the writer on {@link #close}; is not written itself. */
  private static final LogRecord CLOSE_MARKER = new LogRecord(Level.OFF, "");

  private final PrintStream out;
  private final Formatter formatter;
  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::writeBatches, "log-writer");
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

  private void writeBatches() {
    List<LogRecord> batch = new ArrayList<>();
    try {
      while (!closed || !queue.isEmpty()) {
        LogRecord first = queue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (first == null) {
          continue;
        }
        if (!closed) {
          Thread.sleep(BATCH_DELAY_MILLIS);
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
    long droppedRecords = dropped.getAndSet(0);
    if (droppedRecords > 0) {
      text.append(
          formatter.format(
              new LogRecord(Level.WARNING, "log: dropped " + droppedRecords + " lines")));
    }
    batch.stream().filter(r -> r != CLOSE_MARKER).forEach(r -> text.append(formatter.format(r)));
    out.print(text);
    out.flush();
  }

  @Override
  public void flush() {
    // The writer flushes after each batch.
  }

  /** Writes the queued records, but does not wait for a stalled output. */
  @Override
  public void close() {
    closed = true;
    if (!queue.offer(CLOSE_MARKER)) {
      // The queue is full, so the writer needs no marker to wake up.
      dropped.incrementAndGet();
    }
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
