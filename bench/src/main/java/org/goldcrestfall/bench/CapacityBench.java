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
 * Measures the slopes that docs/CAPACITY.md extrapolates: heap and snapshot bytes of the control
 * state for each budget and allotment, and processor time of a grant and of a settled record.
 */
public final class CapacityBench {

  private static final int RECORDS_PER_BATCH = 4;
  private static final int WARM_UP_BATCHES = 20_000;

  @Parameter(names = "--budgets", description = "Budgets of the larger state")
  private int budgets = 20_000;

  @Parameter(names = "--routers", description = "Routers with an allotment of each tenth budget")
  private int routers = 20;

  @Parameter(names = "--batches", description = "Settled batches that are timed")
  private int batches = 50_000;

  private final ControlStateMachine machine = new ControlStateMachine();
  private long index;
  private long bytes;
  private long settled;

  private CapacityBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) {
    CapacityBench b = new CapacityBench();
    JCommander.newBuilder().addObject(b).build().parse(args);
    b.run();
  }

  private void run() {
    for (int r = 0; r < routers; r++) {
      apply(new ControlCommand.RegisterHost("r" + r, "zone-a", "10.0.0.1:1", "n", true, true, 0));
    }
    long before = usedHeap();
    addBudgets(0, budgets / 2);
    long half = usedHeap();
    addBudgets(budgets / 2, budgets);
    long all = usedHeap();
    System.out.printf(
        "heap a budget: %d bytes (first half %d)%n",
        (all - half) / (budgets - budgets / 2), (half - before) / (budgets / 2));
    long grants = grantEachTenth();
    long granted = usedHeap();
    System.out.printf("heap an allotment: %d bytes%n", (granted - all) / grants);
    settle(WARM_UP_BATCHES);
    bytes = 0;
    long start = System.nanoTime();
    settle(batches);
    double micros = (System.nanoTime() - start) / 1e3 / batches;
    System.out.printf(
        "settled batch of %d records: %.1f us, %d bytes of log%n",
        RECORDS_PER_BATCH, micros, bytes / batches);
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
    apply(new ControlCommand.ConfirmPlan("d" + id, "ana", index, 0));
  }

  private long grantEachTenth() {
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
    long first = settled;
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
    settled += count;
  }

  private void apply(ControlCommand c) {
    byte[] command = Json.bytes(c);
    bytes += command.length;
    machine.apply(++index, command);
  }

  private static long usedHeap() {
    Runtime r = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return r.totalMemory() - r.freeMemory();
  }
}
