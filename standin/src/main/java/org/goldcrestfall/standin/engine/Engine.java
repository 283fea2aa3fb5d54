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

/**
 * The stand-in model engine. It simulates batching, prefill time, the pace of token generation and
 * a prefix cache, and counts requests and tokens.
 */
final class Engine {

  private static final long KEEP_ALIVE_INTERVAL_MILLIS = 250;
  private static final long LOAD_SAMPLE_INTERVAL_MILLIS = 50;
  private static final long LATE_START_MILLIS = 5000;
  private static final int MAX_CACHE_EVENTS_PER_ANNOUNCEMENT = 256;

  /**
   * Comment in the event stream, for streams that have sent nothing for the keep-alive interval. A
   * closed connection is only detected by writing to it.
   */
  private static final ByteString KEEP_ALIVE_COMMENT = ByteString.fromString(": waiting\n\n");

  /**
   * White space before the JSON body of a non-streaming response, sent to detect closed
   * connections.
   */
  private static final ByteString KEEP_ALIVE_SPACE = ByteString.fromString(" ");

  private final EngineOptions options;
  private final MillisClock clock;
  private final ScheduledExecutorService timers;
  private final BatchScheduler scheduler;
  private final PrefixCache cache;
  private final LoadHistory loadHistory;
  private final OrderHandler orderHandler;
  private final EngineStats stats = new EngineStats();

  /**
   * Time at which the engine began to leave. Until then, it is so far in the future that no request
   * counts as started late.
   */
  private volatile long leavingSinceMillis = Long.MAX_VALUE - LATE_START_MILLIS;

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
            options.cacheEventLossShare,
            options.seed);
    this.loadHistory = new LoadHistory(clock, options.loadLagMillis);
    this.orderHandler = new OrderHandler(options.checksFencing, options.models);
    loadHistory.sample(scheduler.load());
    timers.scheduleAtFixedRate(
        () -> loadHistory.sample(scheduler.load()),
        LOAD_SAMPLE_INTERVAL_MILLIS,
        LOAD_SAMPLE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  OrderHandler orderHandler() {
    return orderHandler;
  }

  EngineStats.Snapshot stats() {
    return stats.snapshot(scheduler.load());
  }

  int unfinishedRequests() {
    BatchScheduler.Load load = scheduler.load();
    return load.running() + load.waiting();
  }

  void onLeaving() {
    leavingSinceMillis = clock.nowMillis();
  }

  Announcement announcement(long incarnation, long sequence, boolean leaving) {
    LoadHistory.Report report = loadHistory.report();
    BatchScheduler.Load load = report.load();
    List<Announcement.CacheEvent> events =
        cache.takeEvents(MAX_CACHE_EVENTS_PER_ANNOUNCEMENT).stream()
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
        orderHandler.models(),
        null,
        options.checksFencing,
        new Announcement.Load(load.running(), load.waiting(), load.slots(), report.ageMillis()),
        events);
  }

  /**
   * Returns the body of the response. The request starts when the source is materialized and ends
   * when the source completes, fails or is cancelled.
   */
  Source<ByteString, NotUsed> answer(ChatRequest request) {
    return Source.lazySource(() -> startRequest(request))
        .mapMaterializedValue(m -> NotUsed.getInstance());
  }

  private Source<ByteString, NotUsed> startRequest(ChatRequest request) {
    stats.started.incrementAndGet();
    if (clock.nowMillis() > leavingSinceMillis + LATE_START_MILLIS) {
      stats.lateStarted.incrementAndGet();
    }
    TokenStream stream = new TokenStream(request, stats);
    BatchScheduler.SlotRequest slotRequest = new BatchScheduler.SlotRequest(request.priority());
    scheduler.submit(slotRequest);
    CompletionStage<Source<ByteString, NotUsed>> bodyAfterPrefill =
        slotRequest
            .admitted()
            .thenCompose(admitted -> prefill(request))
            .thenApply(done -> request.stream() ? streamingBody(stream) : nonStreamingBody(stream));
    return Source.completionStageSource(bodyAfterPrefill)
        .keepAlive(
            Duration.ofMillis(KEEP_ALIVE_INTERVAL_MILLIS),
            () -> request.stream() ? KEEP_ALIVE_COMMENT : KEEP_ALIVE_SPACE)
        .watchTermination(
            (ignored, done) -> {
              done.whenComplete((end, failure) -> endRequest(slotRequest, end, failure, stream));
              return NotUsed.getInstance();
            });
  }

  private void endRequest(
      BatchScheduler.SlotRequest slotRequest, Done end, Throwable failure, TokenStream stream) {
    scheduler.release(slotRequest);
    boolean complete = end != null && failure == null && !stream.hasMoreTokens();
    (complete ? stats.finished : stats.cancelled).incrementAndGet();
  }

  private CompletionStage<Void> prefill(ChatRequest request) {
    int promptTokens = request.prompt().tokenCount();
    int cachedTokens =
        Math.min(promptTokens, cache.lookUpAndStore(request.model(), request.prompt().text()));
    stats.cachedPromptTokens.addAndGet(cachedTokens);
    int uncachedTokens = promptTokens + request.resumeFrom() - cachedTokens;
    return delay((long) (uncachedTokens * options.prefillMicrosPerToken));
  }

  private Source<ByteString, NotUsed> streamingBody(TokenStream stream) {
    if (options.tokenIntervalMillis <= 0) {
      return stream.unpacedEvents(options.eventsPerWrite);
    }
    // The queue has room for the whole answer, so a slow reader does not stall the batch.
    return Source.<ByteString>queue(stream.remainingTokens() + 1)
        .mapMaterializedValue(
            queue -> {
              startPacing(queue, stream);
              return NotUsed.getInstance();
            });
  }

  private void startPacing(BoundedSourceQueue<ByteString> queue, TokenStream stream) {
    AtomicReference<ScheduledFuture<?>> timer = new AtomicReference<>();
    Runnable sendNextToken =
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
    long intervalMicros = Math.max(1, (long) (options.tokenIntervalMillis * 1000));
    timer.set(timers.scheduleAtFixedRate(sendNextToken, 0, intervalMicros, TimeUnit.MICROSECONDS));
  }

  private static void cancel(AtomicReference<ScheduledFuture<?>> timer) {
    ScheduledFuture<?> future = timer.get();
    if (future != null) {
      future.cancel(false);
    }
  }

  private Source<ByteString, NotUsed> nonStreamingBody(TokenStream stream) {
    Supplier<ByteString> completion = stream::completion;
    long durationMicros = (long) (stream.totalTokens() * options.tokenIntervalMillis * 1000);
    return Source.completionStage(delay(durationMicros).thenApply(done -> completion.get()))
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
