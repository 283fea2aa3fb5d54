package org.goldcrestfall.standin.engine;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.standin.answer.ChatRequest;
import org.goldcrestfall.standin.upstream.Announcement;

/** The stand-in model engine: slots, prefill, paced tokens, prefix cache and counters. */
final class Engine {

  private static final long KEEP_ALIVE_MILLIS = 250;
  private static final long SAMPLE_MILLIS = 50;
  private static final long LATE_MILLIS = 5000;
  private static final int EVENTS_PER_ANNOUNCEMENT = 256;

  /** A comment event. Writing to a closed connection is what reveals that it is closed. */
  private static final ByteString COMMENT = ByteString.fromString(": waiting\n\n");

  /** White space before a JSON value, for the same purpose. */
  private static final ByteString SPACE = ByteString.fromString(" ");

  private final EngineOptions options;
  private final MillisClock clock;
  private final ScheduledExecutorService timers;
  private final BatchScheduler scheduler;
  private final PrefixCache cache;
  private final LoadHistory history;
  private final OrderBook orders;
  private final EngineStats stats = new EngineStats();
  private volatile long leftAtMillis = Long.MAX_VALUE - LATE_MILLIS;

  Engine(EngineOptions options, MillisClock clock, ScheduledExecutorService timers) {
    this.options = options;
    this.clock = clock;
    this.timers = timers;
    this.scheduler = new BatchScheduler(options.upstream.slots);
    this.cache =
        new PrefixCache(
            clock,
            options.cacheTokens,
            options.cacheEventDelayMillis,
            options.cacheEventGap,
            options.seed);
    this.history = new LoadHistory(clock, options.loadLagMillis);
    this.orders = new OrderBook(options.checksFencing, options.models);
    history.sample(scheduler.load());
    timers.scheduleAtFixedRate(
        () -> history.sample(scheduler.load()),
        SAMPLE_MILLIS,
        SAMPLE_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  OrderBook orders() {
    return orders;
  }

  EngineStats.View stats() {
    return stats.view(scheduler.load());
  }

  int unfinished() {
    BatchScheduler.Load load = scheduler.load();
    return load.running() + load.waiting();
  }

  void leaving() {
    leftAtMillis = clock.nowMillis();
  }

  Announcement announcement(long incarnation, long sequence, boolean leaving) {
    LoadHistory.Report report = history.report();
    BatchScheduler.Load load = report.load();
    List<Announcement.CacheEvent> events =
        cache.takeEvents(EVENTS_PER_ANNOUNCEMENT).stream()
            .map(e -> new Announcement.CacheEvent(e.sequence(), e.prefix(), e.stored()))
            .toList();
    return new Announcement(
        options.upstream.name,
        incarnation,
        sequence,
        "engine",
        options.upstream.announcedAddress(),
        options.upstream.zone,
        leaving ? "leaving" : "ready",
        options.upstream.ttlMillis,
        orders.models(),
        null,
        options.checksFencing,
        new Announcement.Load(load.running(), load.waiting(), load.slots(), report.ageMillis()),
        events);
  }

  /** Returns the bytes of the answer; the request ends when the source ends or is cancelled. */
  Source<ByteString, NotUsed> answer(ChatRequest request) {
    return Source.lazySource(() -> start(request)).mapMaterializedValue(m -> NotUsed.getInstance());
  }

  private Source<ByteString, NotUsed> start(ChatRequest request) {
    stats.started.incrementAndGet();
    if (clock.nowMillis() > leftAtMillis + LATE_MILLIS) {
      stats.lateStarted.incrementAndGet();
    }
    TokenStream stream = new TokenStream(request, stats);
    BatchScheduler.Ticket ticket = new BatchScheduler.Ticket(request.priority());
    scheduler.submit(ticket);
    CompletionStage<Source<ByteString, NotUsed>> prefilled =
        ticket
            .admitted()
            .thenCompose(admitted -> prefill(request))
            .thenApply(done -> request.stream() ? streamed(stream) : plain(stream));
    return Source.completionStageSource(prefilled)
        .keepAlive(Duration.ofMillis(KEEP_ALIVE_MILLIS), () -> request.stream() ? COMMENT : SPACE)
        .watchTermination(
            (ignored, done) -> {
              done.whenComplete((end, failure) -> ended(ticket, end, failure, stream));
              return NotUsed.getInstance();
            });
  }

  private void ended(BatchScheduler.Ticket ticket, Done end, Throwable failure, TokenStream s) {
    scheduler.release(ticket);
    boolean whole = end != null && failure == null && !s.hasMoreTokens();
    (whole ? stats.finished : stats.cancelled).incrementAndGet();
  }

  private CompletionStage<Void> prefill(ChatRequest request) {
    int tokens = request.prompt().tokens();
    int cached = Math.min(tokens, cache.use(request.model(), request.prompt().text()));
    stats.cachedPromptTokens.addAndGet(cached);
    int uncached = tokens + request.resumeFrom() - cached;
    return delay((long) (uncached * options.prefillMicros));
  }

  private Source<ByteString, NotUsed> streamed(TokenStream stream) {
    if (options.tokenIntervalMillis <= 0) {
      return stream.unpaced(options.eventsPerWrite);
    }
    // The buffer holds the whole answer: a slow reader does not stop the batch.
    return Source.<ByteString>queue(stream.remaining() + 1)
        .mapMaterializedValue(
            queue -> {
              startPacing(queue, stream);
              return NotUsed.getInstance();
            });
  }

  private void startPacing(BoundedSourceQueue<ByteString> queue, TokenStream stream) {
    AtomicReference<ScheduledFuture<?>> timer = new AtomicReference<>();
    Runnable step =
        () -> {
          if (queue.isCompleted()) {
            cancel(timer);
            return;
          }
          queue.offer(stream.nextEvents(1));
          if (!stream.hasMoreTokens()) {
            queue.complete();
          }
        };
    long micros = Math.max(1, (long) (options.tokenIntervalMillis * 1000));
    timer.set(timers.scheduleAtFixedRate(step, 0, micros, TimeUnit.MICROSECONDS));
  }

  private static void cancel(AtomicReference<ScheduledFuture<?>> timer) {
    ScheduledFuture<?> future = timer.get();
    if (future != null) {
      future.cancel(false);
    }
  }

  private Source<ByteString, NotUsed> plain(TokenStream stream) {
    Supplier<ByteString> whole = stream::whole;
    long micros = (long) (stream.length() * options.tokenIntervalMillis * 1000);
    return Source.completionStage(delay(micros).thenApply(done -> whole.get()))
        .mapMaterializedValue(m -> NotUsed.getInstance());
  }

  private CompletionStage<Void> delay(long micros) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (micros <= 0) {
      done.complete(null);
    } else {
      timers.schedule(() -> done.complete(null), micros, TimeUnit.MICROSECONDS);
    }
    return done;
  }
}
