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
import org.goldcrestfall.daemon.control.ControlAccess;
import org.goldcrestfall.daemon.control.ControlStateMachine;

/**
 * Measures how long a single member takes to restart after 100, 1,000 and 10,000 confirmed changes
 * of the configuration: until its files are read, and until it serves a read.
 */
public final class RestartBench {

  private static final int[] CHANGES = {100, 1_000, 10_000};
  private static final int IN_FLIGHT = 64;
  private static final int SERVICES = 50;

  private RestartBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    BenchOptions options = BenchOptions.parse("restart", args);
    Path folder = options.newFolder();
    int done = 0;
    double first = 0;
    for (int target : CHANGES) {
      try (BenchGroup group = new BenchGroup(folder, List.of(new ControlStateMachine()))) {
        ControlAccess access = new ControlAccess(group.awaitLeader());
        if (done == 0) {
          change(access, 0, new Intent.CreateWorkspace("w", "quick", Tradeoff.STRICT)).join();
        }
        changeMany(access, done, target);
        done = target;
      }
      double millis = measure(folder, target);
      first = first == 0 ? millis : first;
      System.out.printf("%d changes / %d changes: %.2f%n", target, CHANGES[0], millis / first);
    }
  }

  private static void changeMany(ControlAccess access, int from, int to)
      throws InterruptedException {
    Semaphore free = new Semaphore(IN_FLIGHT);
    for (int i = from + 1; i <= to; i++) {
      free.acquire();
      Intent intent = new Intent.DefineService("service-" + i % SERVICES, i, List.of("GET"));
      change(access, i, intent).whenComplete((reply, failure) -> free.release());
    }
    free.acquire(IN_FLIGHT);
  }

  private static CompletableFuture<ControlReply> change(
      ControlAccess access, int number, Intent intent) {
    return access
        .submit(new ControlCommand.CreatePlan("plan-" + number, "ana", intent, number))
        .thenCompose(
            reply -> {
              if (!(reply instanceof ControlReply.Planned planned)) {
                throw new IllegalStateException("no plan: " + reply);
              }
              return access.submit(
                  new ControlCommand.ConfirmPlan(
                      "confirm-" + number, "ana", planned.plan().id(), number));
            })
        .thenApply(
            reply -> {
              if (reply instanceof ControlReply.Refused) {
                throw new IllegalStateException("refused: " + reply);
              }
              return reply;
            });
  }

  private static double measure(Path folder, int changes) throws Exception {
    final long start = System.nanoTime();
    try (BenchGroup group = new BenchGroup(folder, List.of(new ControlStateMachine()))) {
      final double opened = millisSince(start);
      ControlAccess access = new ControlAccess(group.awaitLeader());
      access.query(new ControlQuery.Workspaces()).join();
      double served = millisSince(start);
      System.out.printf(
          "%d changes: files read after %.0f ms, read served after %.0f ms, %d entries, %d bytes%n",
          changes, opened, served, group.member(0).status().commitIndex(), size(folder));
      return served;
    }
  }

  private static double millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  private static long size(Path folder) throws Exception {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(Files::isRegularFile).mapToLong(p -> p.toFile().length()).sum();
    }
  }
}
