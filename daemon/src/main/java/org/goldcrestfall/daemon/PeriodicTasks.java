package org.goldcrestfall.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Schedules tasks that run repeatedly and continue after a run has failed. */
public final class PeriodicTasks {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private PeriodicTasks() {}

  /**
   * Runs a task repeatedly, with a fixed delay before the first run and between runs. Exceptions
   * are caught and logged, because an executor cancels a periodic task that throws.
   */
  public static void schedule(ScheduledExecutorService executor, long delayMillis, Runnable task) {
    schedule(executor, delayMillis, delayMillis, task);
  }

  /** Runs a task repeatedly, as above, with another delay before the first run. */
  public static void schedule(
      ScheduledExecutorService executor, long firstDelayMillis, long delayMillis, Runnable task) {
    executor.scheduleWithFixedDelay(
        loggingExceptions(task), firstDelayMillis, delayMillis, TimeUnit.MILLISECONDS);
  }

  private static Runnable loggingExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log(
            "daemon: a periodic task failed");
      }
    };
  }
}
