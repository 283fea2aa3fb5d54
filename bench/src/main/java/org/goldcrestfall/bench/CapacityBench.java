package org.goldcrestfall.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.Intent;
import org.goldcrestfall.core.control.Tradeoff;
import org.goldcrestfall.daemon.control.ControlStateMachine;
import org.goldcrestfall.daemon.http.Json;

/**
 * Measures the unit costs of the control state from which docs/CAPACITY.md extrapolates: heap bytes
 * per budget and per allotment, snapshot bytes per budget, and time and log bytes per settled batch
 * of billing records.
 */
public final class CapacityBench {

  private static final int RECORDS_PER_BATCH = 4;
  private static final int WARM_UP_BATCHES = 20_000;

  @Parameter(names = "--budgets", description = "Number of budgets")
  private int budgets = 20_000;

  @Parameter(
      names = "--routers",
      description = "Routers that hold an allotment of every tenth budget")
  private int routers = 20;

  @Parameter(names = "--batches", description = "Number of batches to settle in the timed part")
  private int batches = 50_000;

  private final ControlStateMachine machine = new ControlStateMachine();
  private long lastIndex;
  private long appliedBytes;
  private long settledBatches;

  private CapacityBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) {
    CapacityBench bench = new CapacityBench();
    JCommander.newBuilder().addObject(bench).build().parse(args);
    bench.run();
  }

  private void run() {
    for (int r = 0; r < routers; r++) {
      apply(new ControlCommand.RegisterHost("r" + r, "zone-a", "10.0.0.1:1", "n", true, true, 0));
    }
    long heapBefore = usedHeapBytes();
    addBudgets(0, budgets / 2);
    long heapWithHalf = usedHeapBytes();
    addBudgets(budgets / 2, budgets);
    long heapWithAll = usedHeapBytes();
    System.out.printf(
        "heap a budget: %d bytes (first half %d)%n",
        (heapWithAll - heapWithHalf) / (budgets - budgets / 2),
        (heapWithHalf - heapBefore) / (budgets / 2));
    long grants = grantEveryTenthBudget();
    long heapWithGrants = usedHeapBytes();
    System.out.printf("heap an allotment: %d bytes%n", (heapWithGrants - heapWithAll) / grants);
    settle(WARM_UP_BATCHES);
    appliedBytes = 0;
    long start = System.nanoTime();
    settle(batches);
    double micros = (System.nanoTime() - start) / 1e3 / batches;
    System.out.printf(
        "settled batch of %d records: %.1f us, %d bytes of log%n",
        RECORDS_PER_BATCH, micros, appliedBytes / batches);
    start = System.nanoTime();
    byte[] snapshot = machine.snapshot();
    System.out.printf(
        "snapshot: %.0f ms, %d bytes a budget, %d bytes in all%n",
        (System.nanoTime() - start) / 1e6, snapshot.length / budgets, snapshot.length);
  }

  private void addBudgets(int from, int to) {
    for (int i = from; i < to; i++) {
      confirm(i, new Intent.CreateWorkspace("w" + i, "quick", Tradeoff.STRICT));
      confirm(i, new Intent.TopUpBudget("w" + i, 1_000_000_000L));
    }
  }

  private void confirm(int i, Intent intent) {
    String id = intent.getClass().getSimpleName() + i;
    apply(new ControlCommand.CreatePlan("c" + id, "ana", intent, 0));
    apply(new ControlCommand.ConfirmPlan("d" + id, "ana", lastIndex, 0));
  }

  private long grantEveryTenthBudget() {
    long n = 0;
    for (int i = 0; i < budgets; i += 10) {
      for (int r = 0; r < routers; r++) {
        apply(
            new ControlCommand.GrantAllotment(
                new Incarnation("r" + r, 1), "w" + i, 1, 10_000_000, 0, 1_000));
        n++;
      }
    }
    return n;
  }

  private void settle(int count) {
    long first = settledBatches;
    for (long b = first; b < first + count; b++) {
      List<BillingRecord> records = new ArrayList<>();
      for (int k = 0; k < RECORDS_PER_BATCH; k++) {
        String id = "0f8b2c1e-7d4a-4c55-9a51-" + b + "-" + k;
        records.add(
            new BillingRecord(
                "w" + b % (budgets / 10) * 10,
                id,
                "5d41402abc4b2a76b9719d911017c5925d41402abc4b2a76b9719d911017c592",
                "hull-1",
                "quick",
                100,
                200,
                300,
                1_700_000_000_000L + b));
      }
      apply(new ControlCommand.SettleRequests(new Incarnation("r0", 1), b + 1, records));
    }
    settledBatches += count;
  }

  private void apply(ControlCommand c) {
    byte[] command = Json.bytes(c);
    appliedBytes += command.length;
    machine.apply(++lastIndex, command);
  }

  /** Returns the bytes of heap in use after a garbage collection. */
  private static long usedHeapBytes() {
    Runtime r = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return r.totalMemory() - r.freeMemory();
  }
}
