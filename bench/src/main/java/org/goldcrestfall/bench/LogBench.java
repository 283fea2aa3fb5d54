package org.goldcrestfall.bench;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.daemon.control.StateMachine;
import org.goldcrestfall.daemon.storage.Disk;
import org.goldcrestfall.daemon.storage.FolderDisk;

/**
 * Measures the commits per second of a control group of three members on one disk, first with one
 * command at a time and then with many in flight, which share disk syncs. The baseline is a plain
 * write and sync on the same disk.
 */
public final class LogBench {

  private static final long TIMEOUT_MILLIS = 10_000;

  private LogBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    BenchOptions options = BenchOptions.parse("log", args);
    Path folder = options.createFolder();
    double plainRate = measureSyncs(options, folder.resolve("plain"));
    System.out.printf("plain write and sync: %.0f a second%n", plainRate);
    List<CountingStateMachine> machines =
        List.of(new CountingStateMachine(), new CountingStateMachine(), new CountingStateMachine());
    try (BenchControlGroup group = new BenchControlGroup(folder, machines)) {
      ControlClient client = group.awaitLeader();
      measureCommits(client, options, 1);
      double aloneRate = measureCommits(client, options, 1);
      double batchedRate = measureCommits(client, options, options.inFlight());
      System.out.printf("alone / plain: %.2f%n", aloneRate / plainRate);
      System.out.printf("batched / alone: %.1f%n", batchedRate / aloneRate);
    }
  }

  private static double measureSyncs(BenchOptions options, Path folder) throws IOException {
    try (FolderDisk disk = new FolderDisk(folder);
        Disk.DiskFile file = disk.open("plain")) {
      long count = 0;
      final long start = System.nanoTime();
      while (System.nanoTime() - start < options.durationNanos()) {
        file.write(count * options.commandBytes(), ByteBuffer.allocate(options.commandBytes()));
        file.sync();
        count++;
      }
      return ratePerSecond(count, start);
    }
  }

  private static double measureCommits(ControlClient client, BenchOptions options, int inFlight)
      throws InterruptedException {
    Semaphore inFlightPermits = new Semaphore(inFlight);
    Histogram micros = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
    AtomicLong failures = new AtomicLong();
    long count = 0;
    final long start = System.nanoTime();
    while (System.nanoTime() - start < options.durationNanos()) {
      inFlightPermits.acquire();
      long sentNanos = System.nanoTime();
      client
          .submit(new byte[options.commandBytes()], TIMEOUT_MILLIS)
          .whenComplete(
              (reply, failure) -> {
                if (failure != null) {
                  failures.incrementAndGet();
                }
                synchronized (micros) {
                  micros.recordValue((System.nanoTime() - sentNanos) / 1_000);
                }
                inFlightPermits.release();
              });
      count++;
    }
    inFlightPermits.acquire(inFlight);
    double rate = ratePerSecond(count - failures.get(), start);
    System.out.printf(
        "%d in flight: %.0f commits a second, p50 %d us, p99 %d us, max %d us, %d failures%n",
        inFlight,
        rate,
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(99),
        micros.getMaxValue(),
        failures.get());
    return rate;
  }

  private static double ratePerSecond(long count, long startNanos) {
    return count * 1e9 / (System.nanoTime() - startNanos);
  }

  /** A state machine whose state is the number of applied commands. */
  private static final class CountingStateMachine implements StateMachine {

    private long count;

    @Override
    public byte[] apply(long index, byte[] command) {
      count++;
      return new byte[0];
    }

    @Override
    public byte[] query(byte[] query) {
      return snapshot();
    }

    @Override
    public byte[] snapshot() {
      return ByteBuffer.allocate(8).putLong(count).array();
    }

    @Override
    public void restore(byte[] snapshot) {
      count = ByteBuffer.wrap(snapshot).getLong();
    }
  }
}
