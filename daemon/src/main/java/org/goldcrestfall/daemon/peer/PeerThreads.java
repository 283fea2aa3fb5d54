package org.goldcrestfall.daemon.peer;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The threads of a {@link PeerService}: one for its state and one for storing configurations. */
interface PeerThreads extends AutoCloseable {

  /** Runs a task on the state thread. */
  void execute(Runnable task);

  /** Runs a task that may block on disk I/O on the storage thread. */
  void executeStorage(Runnable task);

  /** Runs a task periodically on the state thread. */
  void scheduleRepeatedly(Runnable task, long intervalMillis);

  @Override
  void close();

  /** Creates the threads of a daemon. */
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
