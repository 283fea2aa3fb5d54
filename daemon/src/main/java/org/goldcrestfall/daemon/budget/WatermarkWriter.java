package org.goldcrestfall.daemon.budget;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.goldcrestfall.core.budget.BlockWatermark;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.daemon.control.ControlService;

/**
 * Writes the watermark of this incarnation ahead of its use, on a thread of its own, and proves the
 * unused rest of earlier incarnations to the control group.
 */
public final class WatermarkWriter implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WatermarkStore store;
  private final BlockWatermark watermark;
  private final BudgetService budgets;
  private final AtomicBoolean scheduled = new AtomicBoolean();
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("watermark").setDaemon(true).build());

  /** Creates the writer for the ledger of {@code budgets}, which {@code watermark} limits. */
  public WatermarkWriter(WatermarkStore store, BlockWatermark watermark, BudgetService budgets) {
    this.store = store;
    this.watermark = watermark;
    this.budgets = budgets;
    budgets.onWatermarkPending(this::poke);
  }

  /** Writes the next watermarks soon, if any have to be raised. */
  public void poke() {
    if (scheduled.compareAndSet(false, true)) {
      executor.execute(this::writeNext);
    }
  }

  private void writeNext() {
    scheduled.set(false);
    Optional<Map<String, Long>> next = budgets.withLedger(l -> watermark.nextWrite());
    if (next.isEmpty()) {
      return;
    }
    try {
      store.write(budgets.self(), next.get());
    } catch (IOException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "budget: watermark cannot be written: %s", e.getMessage());
      return;
    }
    budgets.withLedger(
        l -> {
          watermark.written(next.get());
          return null;
        });
    next.get().keySet().forEach(budgets::serveWaiters);
  }

  /** Returns the unused allotments of earlier incarnations; repeats until all are closed. */
  public void closeEarlier(ControlService control, long nowUtcMillis) {
    Map<Incarnation, Map<String, Long>> earlier;
    try {
      earlier = store.earlierThan(budgets.self());
    } catch (IOException e) {
      logger.atWarning().log("budget: earlier watermarks cannot be read: %s", e.getMessage());
      return;
    }
    earlier.forEach(
        (i, marks) ->
            control
                .submit(new ControlCommand.CloseIncarnation(i, marks, true, nowUtcMillis))
                .whenComplete((r, e) -> closed(i, e == null)));
  }

  private void closed(Incarnation i, boolean answered) {
    if (!answered) {
      return;
    }
    try {
      store.delete(i);
      logger.atInfo().log("budget: unused allotments of %s are returned", i);
    } catch (IOException e) {
      logger.atWarning().log("budget: watermark of %s cannot be deleted: %s", i, e.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    executor.shutdownNow();
    store.close();
  }
}
