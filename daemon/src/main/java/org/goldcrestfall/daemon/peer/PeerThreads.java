package org.goldcrestfall.daemon.peer;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The threads of a {@link PeerService}: one for its state, one for storing configurations. */
interface PeerThreads extends AutoCloseable {

  /** Runs a task on the thread that owns the state. */
  void execute(Runnable task);

  /** Runs a task that may block on the disk. */
  void executeStorage(Runnable task);

  /** Runs a task regularly on the thread that owns the state. */
  void scheduleRepeatedly(Runnable task, long intervalMillis);

  @Override
  void close();

  /** Starts real threads. */
  static PeerThreads start(String host) {
    ScheduledExecutorService state =
        Executors.newSingleThreadScheduledExecutor(
            new ThreadFactoryBuilder().setNameFormat("peer-" + host).setDaemon(true).build());
    var storage =
        Executors.newSingleThreadExecutor(
            new ThreadFactoryBuilder().setNameFormat("store-" + host).setDaemon(true).build());
    return new PeerThreads() {
      @Override
      public void execute(Runnable task) {
        state.execute(task);
      }

      @Override
      public void executeStorage(Runnable task) {
        storage.execute(task);
      }

      @Override
      public void scheduleRepeatedly(Runnable task, long intervalMillis) {
        state.scheduleWithFixedDelay(task, 0, intervalMillis, TimeUnit.MILLISECONDS);
      }

      @Override
      public void close() {
        state.shutdownNow();
        storage.shutdown();
      }
    };
  }
}
