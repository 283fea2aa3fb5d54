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
 * Measures synced commits a second through three members on one disk: one at a time, and many in
 * flight, which share syncs. A plain write with sync on the same disk is the baseline.
 */
public final class LogBench {

  private static final long TIMEOUT_MILLIS = 10_000;

  private LogBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    BenchOptions options = BenchOptions.parse("log", args);
    Path folder = options.newFolder();
    double syncs = measureSyncs(options, folder.resolve("plain"));
    System.out.printf("plain write and sync: %.0f a second%n", syncs);
    List<Counter> machines = List.of(new Counter(), new Counter(), new Counter());
    try (BenchGroup group = new BenchGroup(folder, machines)) {
      ControlClient client = group.awaitLeader();
      measure(client, options, 1);
      double alone = measure(client, options, 1);
      double batched = measure(client, options, options.inFlight());
      System.out.printf("alone / plain: %.2f%n", alone / syncs);
      System.out.printf("batched / alone: %.1f%n", batched / alone);
    }
  }

  private static double measureSyncs(BenchOptions options, Path folder) throws IOException {
    try (FolderDisk disk = new FolderDisk(folder);
        Disk.DiskFile file = disk.open("plain")) {
      long count = 0;
      final long start = System.nanoTime();
      while (System.nanoTime() - start < options.nanos()) {
        file.write(count * options.bytes(), ByteBuffer.allocate(options.bytes()));
        file.sync();
        count++;
      }
      return rate(count, start);
    }
  }

  private static double measure(ControlClient client, BenchOptions options, int inFlight)
      throws InterruptedException {
    Semaphore free = new Semaphore(inFlight);
    Histogram micros = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
    AtomicLong failures = new AtomicLong();
    long count = 0;
    final long start = System.nanoTime();
    while (System.nanoTime() - start < options.nanos()) {
      free.acquire();
      long sent = System.nanoTime();
      client
          .submit(new byte[options.bytes()], TIMEOUT_MILLIS)
          .whenComplete(
              (reply, failure) -> {
                if (failure != null) {
                  failures.incrementAndGet();
                }
                synchronized (micros) {
                  micros.recordValue((System.nanoTime() - sent) / 1_000);
                }
                free.release();
              });
      count++;
    }
    free.acquire(inFlight);
    double rate = rate(count - failures.get(), start);
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

  private static double rate(long count, long startNanos) {
    return count * 1e9 / (System.nanoTime() - startNanos);
  }

  /** Counts commands. */
  private static final class Counter implements StateMachine {

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
