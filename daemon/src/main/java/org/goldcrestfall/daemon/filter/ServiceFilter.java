package org.goldcrestfall.daemon.filter;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.retry.FailedAttempt;
import org.goldcrestfall.core.retry.RetryDecision;
import org.goldcrestfall.daemon.budget.Budgets;
import org.goldcrestfall.daemon.http.HttpResponses;
import org.goldcrestfall.daemon.upstream.EngineClient;
import org.goldcrestfall.daemon.upstream.EngineSelector;
import org.goldcrestfall.daemon.upstream.NotSentException;
import org.goldcrestfall.daemon.upstream.ServiceClient;
import org.goldcrestfall.daemon.upstream.ServiceResponse;
import org.goldcrestfall.daemon.upstream.SharedRetryPolicy;
import org.goldcrestfall.daemon.upstream.UpstreamPool;

/** Answers idempotent calls of plain services, with retries; passes bookings to the next filter. */
public final class ServiceFilter implements RequestFilter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Timeout of one call of a plain service. */
  static final long CALL_TIMEOUT_MILLIS = 10_000;

  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private final UpstreamPool pool;
  private final ServiceClient client;
  private final SharedRetryPolicy retries;
  private final Budgets budgets;
  private final MillisClock clock;
  private final MillisClock utcClock;

  /** Creates the filter. */
  public ServiceFilter(
      UpstreamPool pool,
      ServiceClient client,
      SharedRetryPolicy retries,
      Budgets budgets,
      MillisClock clock,
      MillisClock utcClock) {
    this.pool = pool;
    this.client = client;
    this.retries = retries;
    this.budgets = budgets;
    this.clock = clock;
    this.utcClock = utcClock;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    if (!c.serviceCall().isIdempotent()) {
      return next.proceed(c);
    }
    retries.onRequest();
    return attempt(c, 1, new HashSet<>())
        .whenComplete(
            (a, e) -> {
              if (e == null) {
                c.settleAfter(
                    budgets.settle(c.reservation(), billingRecord(c, utcClock.nowMillis())));
              } else {
                budgets.release(c.reservation());
              }
              c.end();
            })
        .thenCompose(
            a -> c.whenSettled(ChatFilter.SETTLE_WAIT_MILLIS).thenApply(v -> response(c, a)));
  }

  private CompletionStage<ServiceResponse> attempt(
      RequestContext c, int attemptNumber, Set<String> failedInstances) {
    Optional<EngineSelector.Selection> s =
        pool.selectService(c.serviceCall().service().name(), failedInstances);
    if (s.isEmpty()) {
      throw noInstance(c);
    }
    EngineSelector.Selection instance = s.get();
    long remaining = Math.max(1, c.deadlineMillis() - clock.nowMillis());
    return client
        .call(
            instance.address(),
            request(c, instance, remaining),
            Math.min(remaining, CALL_TIMEOUT_MILLIS))
        .handle(
            (a, e) -> {
              if (e == null && a.status() < FIRST_SERVER_ERROR_STATUS) {
                instance.finished();
                return CompletableFuture.completedFuture(a);
              }
              instance.failed();
              failedInstances.add(instance.name());
              return retry(c, attemptNumber, failedInstances, a, e);
            })
        .thenCompose(f -> f);
  }

  private CompletionStage<ServiceResponse> retry(
      RequestContext c,
      int attemptNumber,
      Set<String> failedInstances,
      ServiceResponse response,
      Throwable e) {
    boolean sent = !(e != null && HttpResponses.unwrap(e) instanceof NotSentException);
    RetryDecision d =
        retries.decide(new FailedAttempt(sent, true, attemptNumber, c.deadlineMillis(), 0, false));
    logger.atFine().log("http: call %s of request %s failed: %s", attemptNumber, c.requestId(), d);
    if (!d.retry()) {
      if (response != null) {
        return CompletableFuture.completedFuture(response);
      }
      throw sent
          ? new RequestFailure(ErrorKind.UPSTREAM_FAILED, "The service did not answer.")
          : noInstance(c);
    }
    Executor delayed =
        CompletableFuture.delayedExecutor(d.delayMillis(), TimeUnit.MILLISECONDS, Runnable::run);
    return CompletableFuture.supplyAsync(
            () -> attempt(c, attemptNumber + 1, failedInstances), delayed)
        .thenCompose(f -> f);
  }

  /** Returns the request to send to an instance of the service. */
  static HttpRequest request(
      RequestContext c, EngineSelector.Selection instance, long remainingMillis) {
    ServiceCall call = c.serviceCall();
    HttpRequest r =
        HttpRequest.create("http://" + instance.address() + call.pathAndQuery())
            .withMethod(HttpMethods.lookup(call.method()).orElseThrow())
            .addHeader(RawHeader.create(RequestIdFilter.ID_HEADER, c.requestId()))
            .addHeader(RawHeader.create("Goldcrestfall-Workspace", c.workspace().name()))
            .addHeader(
                RawHeader.create(EngineClient.DEADLINE_HEADER, String.valueOf(remainingMillis)));
    return call.body().length == 0
        ? r
        : r.withEntity(HttpEntities.create(ContentTypes.parse(call.contentType()), call.body()));
  }

  /** Returns the response to the caller. */
  static HttpResponse response(RequestContext c, ServiceResponse a) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(a.status()))
        .withEntity(HttpEntities.create(ContentTypes.parse(a.contentType()), a.body()))
        .addHeader(RawHeader.create(HttpResponses.REQUEST_ID_HEADER, c.requestId()));
  }

  static RequestFailure noInstance(RequestContext c) {
    return new RequestFailure(
        ErrorKind.NO_UPSTREAM,
        "No instance of service " + c.serviceCall().service().name() + " is available.");
  }

  private static BillingRecord billingRecord(RequestContext c, long atMillis) {
    return new BillingRecord(
        c.workspace().name(),
        c.requestId(),
        c.bodyHash(),
        c.serviceCall().service().name(),
        c.patience().name(),
        0,
        0,
        c.reservation().tokens(),
        atMillis);
  }
}
