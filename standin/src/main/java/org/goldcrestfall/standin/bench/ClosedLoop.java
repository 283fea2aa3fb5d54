package org.goldcrestfall.standin.bench;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.goldcrestfall.standin.client.ChatCall;
import org.goldcrestfall.standin.client.ChatClient;
import org.goldcrestfall.standin.client.ChatReply;

/**
 * A closed-loop load generator: keeps a fixed number of streams open at one server and starts a new
 * stream whenever one ends.
 */
final class ClosedLoop {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long FAILURE_DELAY_MILLIS = 100;
  private static final long RAMP_UP_MILLIS = 1_000;
  private static final long NANOS_PER_MICRO = 1_000;

  private final ChatClient client;
  private final String server;
  private final Supplier<ChatCall> calls;
  private final Histogram firstTokenMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final AtomicLong tokens = new AtomicLong();
  private final AtomicLong failures = new AtomicLong();
  private volatile String firstFailure = "";

  ClosedLoop(ChatClient client, String server, Supplier<ChatCall> calls) {
    this.client = client;
    this.server = server;
    this.calls = calls;
  }

  /**
   * Starts streams for {@code seconds}, then waits until the open ones end.
   *
   * @return the elapsed time in seconds, including the wait
   */
  double run(int streams, int seconds) {
    final long startNanos = System.nanoTime();
    final long endNanos = startNanos + TimeUnit.SECONDS.toNanos(seconds);
    CompletableFuture<?>[] loops = new CompletableFuture<?>[streams];
    for (int i = 0; i < streams; i++) {
      final CompletableFuture<?> loop = new CompletableFuture<Void>();
      loops[i] = loop;
      // Starting all streams at once would measure queueing in the client, not the server's
      // latency.
      CompletableFuture.delayedExecutor(RAMP_UP_MILLIS * i / streams, TimeUnit.MILLISECONDS)
          .execute(() -> startNextStream(loop, endNanos));
    }
    CompletableFuture.allOf(loops).join();
    return (System.nanoTime() - startNanos) / 1e9;
  }

  Histogram firstTokenMicros() {
    return firstTokenMicros;
  }

  long tokens() {
    return tokens.get();
  }

  long failures() {
    return failures.get();
  }

  String firstFailure() {
    return firstFailure;
  }

  private void startNextStream(CompletableFuture<?> loop, long endNanos) {
    final long startNanos = System.nanoTime();
    if (startNanos >= endNanos) {
      loop.complete(null);
      return;
    }
    client
        .send(server, calls.get())
        .thenAccept(
            reply -> {
              recordReply(reply, startNanos);
              if (reply.check().isComplete()) {
                startNextStream(loop, endNanos);
                return;
              }
              // Without a delay, refused streams would flood the router with new ones.
              CompletableFuture.delayedExecutor(FAILURE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                  .execute(() -> startNextStream(loop, endNanos));
            });
  }

  private void recordReply(ChatReply reply, long startNanos) {
    if (reply.check().isComplete()) {
      firstTokenMicros.recordValue((reply.firstTokenAtNanos() - startNanos) / NANOS_PER_MICRO);
      tokens.addAndGet(reply.check().receivedTokens());
      return;
    }
    failures.incrementAndGet();
    if (firstFailure.isEmpty()) {
      firstFailure = reply.errorKind() + " " + reply.check().problem() + " " + reply.error();
    }
  }
}
