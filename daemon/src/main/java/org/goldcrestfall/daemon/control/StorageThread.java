package org.goldcrestfall.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.goldcrestfall.core.consensus.Effect;
import org.goldcrestfall.core.consensus.Event;
import org.goldcrestfall.core.consensus.Snapshot;
import org.goldcrestfall.daemon.storage.DataFolder;

/**
 * Writes to the data folder on a thread of its own, in the order of the requests. All writes that
 * were requested during a sync are written as one batch with the next sync. If a write fails, the
 * same batch is retried until it succeeds, and nothing is acknowledged in the meantime.
 */
final class StorageThread implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_DELAY_MILLIS = 200;

  private sealed interface Task {}

  private record Write(Effect.Persist persist) implements Task {}

  private record Compact(Snapshot snapshot) implements Task {}

  private record Stop() implements Task {}

  private final DataFolder folder;
  private final Consumer<Event> events;
  private final BlockingQueue<Task> tasks = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile boolean closed;
  private volatile String fault = "";

  StorageThread(DataFolder folder, Consumer<Event> events) {
    this.folder = folder;
    this.events = events;
    thread = new Thread(this::run, "control-storage");
    thread.setDaemon(true);
    thread.start();
  }

  void write(Effect.Persist persist) {
    tasks.add(new Write(persist));
  }

  void compact(Snapshot snapshot) {
    tasks.add(new Compact(snapshot));
  }

  /** Returns the description of the current write failure, or an empty string if writes succeed. */
  String fault() {
    return fault;
  }

  private void run() {
    List<Task> drained = new ArrayList<>();
    try {
      while (!closed) {
        drained.add(tasks.take());
        tasks.drainTo(drained);
        List<Effect.Persist> batch = new ArrayList<>();
        for (Task task : drained) {
          if (task instanceof Write w) {
            batch.add(w.persist());
          } else if (task instanceof Compact c) {
            flush(batch);
            retryUntilWritten(() -> folder.compact(c.snapshot()));
            events.accept(new Event.SnapshotTaken(c.snapshot()));
          } else {
            flush(batch);
            return;
          }
        }
        flush(batch);
        drained.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void flush(List<Effect.Persist> batch) throws InterruptedException {
    if (batch.isEmpty()) {
      return;
    }
    retryUntilWritten(() -> folder.write(batch));
    events.accept(new Event.Persisted(batch.get(batch.size() - 1).sequence()));
    batch.clear();
  }

  private void retryUntilWritten(DiskOperation operation) throws InterruptedException {
    while (!closed) {
      try {
        operation.run();
        if (!fault.isEmpty()) {
          fault = "";
          logger.atInfo().log("consensus: writes to the data folder succeed again");
          events.accept(new Event.DiskChanged(true));
        }
        return;
      } catch (IOException | RuntimeException | Error e) {
        // Without this thread, the member would run on and never acknowledge anything again.
        if (fault.isEmpty()) {
          logger.atSevere().withCause(e).log(
              "consensus: cannot write to the data folder; retrying, nothing is acknowledged");
          fault = e.toString();
          events.accept(new Event.DiskChanged(false));
        }
        Thread.sleep(RETRY_DELAY_MILLIS);
      }
    }
    throw new InterruptedException("closed");
  }

  /**
   * Finishes the requested writes and stops the thread. Writes that remain are abandoned if the
   * disk fails or if they take too long.
   */
  @Override
  public void close() {
    tasks.add(new Stop());
    closed = !fault.isEmpty();
    try {
      thread.join(RETRY_DELAY_MILLIS * 10);
      closed = true;
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private interface DiskOperation {
    void run() throws IOException;
  }
}
