package org.goldcrestfall.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.goldcrestfall.standin.upstream.Announcement;
import org.goldcrestfall.standin.upstream.Json;
import org.goldcrestfall.standin.upstream.Responses;
import org.goldcrestfall.standin.upstream.UpstreamProcess;

/**
 * The stand-in service, an upstream that is not a model engine. A GET request looks up stock and
 * has no effect. Any other method makes a booking, which is counted by its {@code Idempotency-Key},
 * so that a client can detect calls that ran more than once.
 */
public final class ServiceServer implements UpstreamProcess.Upstream {

  private record Stock(String item, int count) {}

  private record BookingAnswer(String booking, long number, String path) {}

  private record Stats(long bookings, long lookups, Map<String, Integer> runs) {}

  private static final long BODY_READ_TIMEOUT_MILLIS = 30_000;
  private static final int STOCK_COUNT_RANGE = 500;

  private final ServiceOptions options;
  private final ScheduledExecutorService timers;
  private final Materializer materializer;
  private final UniformRandomProvider random;
  private final ConcurrentHashMap<String, Integer> bookingsByIdempotencyKey =
      new ConcurrentHashMap<>();
  private final AtomicLong bookings = new AtomicLong();
  private final AtomicLong lookups = new AtomicLong();
  private final AtomicInteger running = new AtomicInteger();
  private volatile FaultMode fault;

  /** Creates the service. */
  public ServiceServer(
      ServiceOptions options, ScheduledExecutorService timers, Materializer materializer) {
    this.options = options;
    this.timers = timers;
    this.materializer = materializer;
    this.random = RandomSource.SPLIT_MIX_64.create(options.seed);
    this.fault = options.fault;
  }

  /** Returns the stock of an item, from 0 to 499. It depends only on the name. */
  public static int stockOf(String item) {
    int hash = Hashing.murmur3_32_fixed().hashString(item, StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, STOCK_COUNT_RANGE);
  }

  @Override
  public Announcement announcement(long incarnation, long sequence, boolean leaving) {
    return new Announcement(
        options.upstream.name,
        incarnation,
        sequence,
        "service",
        options.upstream.announcedAddress(),
        options.upstream.zone,
        leaving ? "leaving" : "ready",
        options.upstream.ttlMillis,
        List.of(),
        options.service,
        false,
        new Announcement.Load(running.get(), 0, options.upstream.slots, 0),
        List.of());
  }

  @Override
  public int unfinishedRequests() {
    return running.get();
  }

  @Override
  public void onLeaving() {}

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    return request
        .entity()
        .toStrict(BODY_READ_TIMEOUT_MILLIS, materializer)
        .thenCompose(
            entity ->
                switch (path) {
                  case "/health" -> completed(Responses.json(200, Map.of("status", "ok")));
                  case "/stats" -> completed(Responses.json(200, stats()));
                  case "/fault" -> completed(handleFaultChange(entity.getData().toArray()));
                  default -> handleCall(request, path);
                });
  }

  private CompletionStage<HttpResponse> handleCall(HttpRequest request, String path) {
    FaultMode callFault = isNextCallAffected() ? fault : FaultMode.NONE;
    if (callFault == FaultMode.REFUSE) {
      return completed(Responses.error(503, "refused", "the service refuses calls"));
    }
    running.incrementAndGet();
    HttpResponse response =
        request.method().value().equals("GET") ? lookUp(path) : book(request, path);
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    Runnable finishCall =
        () -> {
          running.decrementAndGet();
          answer.complete(callFault == FaultMode.DROP ? UpstreamProcess.DROP_CONNECTION : response);
        };
    if (options.delayMillis > 0) {
      timers.schedule(finishCall, options.delayMillis, TimeUnit.MILLISECONDS);
    } else {
      finishCall.run();
    }
    return answer;
  }

  private HttpResponse lookUp(String path) {
    lookups.incrementAndGet();
    String item = path.substring(path.lastIndexOf('/') + 1);
    return Responses.json(200, new Stock(item, stockOf(item)));
  }

  private HttpResponse book(HttpRequest request, String path) {
    String idempotencyKey = Responses.header(request, "Idempotency-Key");
    bookingsByIdempotencyKey.merge(idempotencyKey, 1, Integer::sum);
    return Responses.json(201, new BookingAnswer(idempotencyKey, bookings.incrementAndGet(), path));
  }

  private Stats stats() {
    return new Stats(
        bookings.get(), lookups.get(), ImmutableSortedMap.copyOf(bookingsByIdempotencyKey));
  }

  private HttpResponse handleFaultChange(byte[] body) {
    JsonNode mode = Json.parse(body).path("mode");
    fault = FaultMode.valueOf(Ascii.toUpperCase(mode.asText()));
    return Responses.json(200, Map.of("mode", mode.asText()));
  }

  private boolean isNextCallAffected() {
    if (fault == FaultMode.NONE) {
      return false;
    }
    synchronized (random) {
      return random.nextDouble() < options.faultShare;
    }
  }

  private static CompletionStage<HttpResponse> completed(HttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}
