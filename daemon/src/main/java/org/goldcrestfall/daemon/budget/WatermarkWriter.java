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
 * Writes the watermark of this incarnation ahead of its use, on a separate thread. Closes earlier
 * incarnations of this host, and proves to the control group by their watermarks which tokens they
 * did not use.
 */
public final class WatermarkWriter implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WatermarkStore store;
  private final BlockWatermark watermark;
  private final BudgetService budgets;
  private final AtomicBoolean writeScheduled = new AtomicBoolean();
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("watermark").setDaemon(true).build());

  /** Creates the writer for the ledger of {@code budgets}, whose use {@code watermark} limits. */
  public WatermarkWriter(WatermarkStore store, BlockWatermark watermark, BudgetService budgets) {
    this.store = store;
    this.watermark = watermark;
    this.budgets = budgets;
    budgets.onWatermarkPending(this::requestWrite);
  }

  /** Triggers a write of the next watermarks, if any have to be raised. Does not block. */
  public void requestWrite() {
    if (writeScheduled.compareAndSet(false, true)) {
      executor.execute(this::writeNext);
    }
  }

  private void writeNext() {
    writeScheduled.set(false);
    Optional<Map<String, Long>> watermarks = budgets.withLedger(l -> watermark.nextWrite());
    if (watermarks.isEmpty()) {
      return;
    }
    try {
      store.write(budgets.self(), watermarks.get());
    } catch (IOException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "budget: watermarks cannot be written: %s", e.getMessage());
      return;
    }
    budgets.withLedger(
        l -> {
          watermark.written(watermarks.get());
          return null;
        });
    watermarks.get().keySet().forEach(budgets::serveWaiters);
  }

  /**
   * Closes the earlier incarnations of this host that still have watermarks on disk, which returns
   * their unused allotments. Must be called repeatedly: each call resubmits the closing of the
   * incarnations for which the control group has not answered yet.
   */
  public void closeEarlierIncarnations(ControlService control, long nowUtcMillis) {
    Map<Incarnation, Map<String, Long>> earlier;
    try {
      earlier = store.earlierThan(budgets.self());
    } catch (IOException e) {
      logger.atWarning().log(
          "budget: watermarks of earlier incarnations cannot be listed: %s", e.getMessage());
      return;
    }
    earlier.forEach(
        (i, watermarks) ->
            control
                .submit(new ControlCommand.CloseIncarnation(i, watermarks, true, nowUtcMillis))
                .whenComplete((r, e) -> onCloseReply(i, e == null)));
  }

  private void onCloseReply(Incarnation i, boolean answered) {
    if (!answered) {
      return;
    }
    try {
      store.delete(i);
      logger.atInfo().log("budget: returned the unused allotments of incarnation %s", i);
    } catch (IOException e) {
      logger.atWarning().log(
          "budget: watermark file of incarnation %s cannot be deleted: %s", i, e.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    executor.shutdownNow();
    store.close();
  }
}
