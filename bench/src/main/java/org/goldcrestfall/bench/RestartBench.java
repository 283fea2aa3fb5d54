package org.goldcrestfall.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.stream.Stream;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Intent;
import org.goldcrestfall.core.control.Tradeoff;
import org.goldcrestfall.daemon.control.ControlStateMachine;
import org.goldcrestfall.daemon.control.JsonControlService;

/**
 * Measures how long a control group with a single member takes to restart after 100, 1,000 and
 * 10,000 confirmed configuration changes: until it has loaded its files, and until it answers a
 * query.
 */
public final class RestartBench {

  private static final int[] CHANGE_COUNTS = {100, 1_000, 10_000};
  private static final int IN_FLIGHT = 64;
  private static final int SERVICES = 50;

  private RestartBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    BenchOptions options = BenchOptions.parse("restart", args);
    Path folder = options.createFolder();
    int confirmed = 0;
    double firstMillis = 0;
    for (int target : CHANGE_COUNTS) {
      try (BenchControlGroup group =
          new BenchControlGroup(folder, List.of(new ControlStateMachine()))) {
        JsonControlService controlService = new JsonControlService(group.awaitLeader());
        if (confirmed == 0) {
          confirmChange(
                  controlService, 0, new Intent.CreateWorkspace("w", "quick", Tradeoff.STRICT))
              .join();
        }
        confirmChanges(controlService, confirmed, target);
        confirmed = target;
      }
      double millis = measureRestartMillis(folder, target);
      firstMillis = firstMillis == 0 ? millis : firstMillis;
      System.out.printf(
          "%d changes / %d changes: %.2f%n", target, CHANGE_COUNTS[0], millis / firstMillis);
    }
  }

  private static void confirmChanges(JsonControlService controlService, int from, int to)
      throws InterruptedException {
    Semaphore inFlightPermits = new Semaphore(IN_FLIGHT);
    for (int i = from + 1; i <= to; i++) {
      inFlightPermits.acquire();
      Intent intent = new Intent.DefineService("service-" + i % SERVICES, i, List.of("GET"));
      confirmChange(controlService, i, intent)
          .whenComplete((reply, failure) -> inFlightPermits.release());
    }
    inFlightPermits.acquire(IN_FLIGHT);
  }

  private static CompletableFuture<ControlReply> confirmChange(
      JsonControlService controlService, int number, Intent intent) {
    return controlService
        .submit(new ControlCommand.CreatePlan("plan-" + number, "ana", intent, number))
        .thenCompose(
            reply -> {
              if (!(reply instanceof ControlReply.Planned planned)) {
                throw new IllegalStateException(
                    "expected the reply Planned to CreatePlan, got " + reply);
              }
              return controlService.submit(
                  new ControlCommand.ConfirmPlan(
                      "confirm-" + number, "ana", planned.plan().id(), number));
            })
        .thenApply(
            reply -> {
              if (reply instanceof ControlReply.Refused) {
                throw new IllegalStateException("ConfirmPlan was refused: " + reply);
              }
              return reply;
            });
  }

  private static double measureRestartMillis(Path folder, int changes) throws Exception {
    final long start = System.nanoTime();
    try (BenchControlGroup group =
        new BenchControlGroup(folder, List.of(new ControlStateMachine()))) {
      final double openedMillis = millisSince(start);
      JsonControlService controlService = new JsonControlService(group.awaitLeader());
      controlService.query(new ControlQuery.Workspaces()).join();
      double servedMillis = millisSince(start);
      System.out.printf(
          "%d changes: files read after %.0f ms, read served after %.0f ms, %d entries, %d bytes%n",
          changes,
          openedMillis,
          servedMillis,
          group.member(0).status().commitIndex(),
          totalFileBytes(folder));
      return servedMillis;
    }
  }

  private static double millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  private static long totalFileBytes(Path folder) throws Exception {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(Files::isRegularFile).mapToLong(p -> p.toFile().length()).sum();
    }
  }
}
