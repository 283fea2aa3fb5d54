package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.dispatch.ExpectedWaitSelector;
import org.goldcrestfall.core.dispatch.UpstreamSelector;
import org.goldcrestfall.core.gateway.ClientLimits;
import org.goldcrestfall.core.gateway.DrainSchedule;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.ServiceSettings;
import org.goldcrestfall.core.gateway.WarmupSettings;
import org.goldcrestfall.core.limit.HeldBytes;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.retry.RetryAllowance;
import org.goldcrestfall.core.site.EvacuatedZones;
import org.goldcrestfall.daemon.PeriodicTasks;
import org.goldcrestfall.daemon.site.CrashReporter;
import org.goldcrestfall.daemon.site.PermitClient;
import org.goldcrestfall.daemon.site.PrepaidTokens;
import org.goldcrestfall.daemon.site.RouterRegistration;
import org.goldcrestfall.daemon.site.SiteClient;
import org.goldcrestfall.daemon.site.SiteListener;
import org.goldcrestfall.wire.PeerTransport;

/** The request path of a router: the state that all requests share. Confined to one event loop. */
public final class Gateway implements SiteListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;

  /** Delay of a task that the event loop runs in a later pass, after it has read its sockets. */
  private static final long READING_MILLIS = 10;

  /**
   * Number of times that a task is put off because connections or bytes have arrived. In one pass
   * the event loop reads at most 16 KiB of each connection.
   */
  private static final int MAX_READING_DELAYS = 8;

  private final GatewaySettings settings;
  private final GatewayHeaderNames headerNames;
  private final EventLoop loop;
  private final MillisClock clock;
  private final GatewayMetrics metrics;
  private final UpstreamConnections upstreams;
  private final UpstreamSelector upstreamSelector;
  private final Map<String, RetryAllowance> retryAllowances = new HashMap<>();
  private final Set<ClientConnection> clients = new HashSet<>();
  private SiteClient siteClient;
  private PrepaidTokens prepaid;
  private LoadSynchronizer loadSynchronizer;
  private PromptQuarantine quarantine;
  private UpstreamRateLimiter rateLimiter;
  private WarmupLimiter warmupLimiter;
  private RouterRegistration registration;
  private GatewayConfiguration configuration;
  private EvacuatedZones evacuatedZones = EvacuatedZones.NONE;
  private long bufferedBytes;
  private final HeldBytes<ClientConnection> responseBytes;
  private boolean sheddingResponses;
  private long shedResponseCount;
  private int openExchanges;
  private int unwrittenResponses;
  private DrainSchedule drainSchedule;
  private boolean closingIdle;
  private boolean stopped;
  private long arrivals;

  /** Creates the request path; call {@link #attach} before the first request arrives. */
  public Gateway(
      GatewaySettings settings,
      GatewayHeaderNames headerNames,
      EventLoop loop,
      MillisClock clock,
      GatewayMetrics metrics) {
    this.settings = settings;
    this.headerNames = headerNames;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    responseBytes = new HeldBytes<>(settings.maxResponseBytes());
    upstreams = new UpstreamConnections(loop, clock, headerNames);
    upstreamSelector = new ExpectedWaitSelector(settings.zone());
  }

  /** Connects the request path to the site, and starts the periodic check for timeouts. */
  public void attach(SiteClient siteClient, PrepaidTokens prepaid, PeerTransport transport) {
    this.siteClient = siteClient;
    this.prepaid = prepaid;
    loadSynchronizer = new LoadSynchronizer(siteClient, transport, loop, upstreams);
    quarantine =
        new PromptQuarantine(
            upstreams, new CrashReporter(siteClient, transport, loop, clock), loop);
    rateLimiter =
        new UpstreamRateLimiter(new PermitClient(siteClient, transport, loop, clock), loop, clock);
    warmupLimiter = new WarmupLimiter(siteClient, this::warmupSettings, metrics);
    registration = new RouterRegistration(siteClient, transport, loop, clock);
    metrics.gauge(
        "warming_upstreams",
        "Upstreams that have just started, or may have restarted unseen",
        () -> upstreams.all().stream().filter(u -> u.warmup().isWarmingUp(now())).count());
    metrics.gauge(
        "limited_upstreams",
        "Upstreams that state a rate limit",
        () -> upstreams.all().stream().filter(u -> u.load().limit().isLimited()).count());
    metrics.gauge(
        "evacuated_zones",
        "Availability zones whose upstreams get no new requests",
        () -> evacuatedZones.zones().size());
    metrics.gauge(
        "suspect_parts",
        "Prompt parts under which upstreams crashed",
        () -> quarantine.view().parts().size());
    metrics.gauge(
        "shed_responses",
        "Responses passed on early or given up because too many bytes of responses were kept",
        () -> shedResponseCount);
    PeriodicTasks.schedule(loop, TIMEOUT_CHECK_INTERVAL_MILLIS, this::checkTimeouts);
  }

  private void checkTimeouts() {
    upstreams.closeExpired();
    long now = now();
    Set.copyOf(clients).forEach(c -> c.checkTimeouts(now));
  }

  @Override
  public void configurationChanged(GatewayConfiguration next) {
    configuration = next;
    prepaid.configure(next);
    registration.setNeeded(next.services().values().stream().anyMatch(s -> s.warmup().isPresent()));
  }

  @Override
  public void upstreamChanged(UpstreamEntry entry) {
    quarantine.onEntry(entry);
    upstreams.update(entry);
  }

  @Override
  public void quarantineChanged(QuarantineView next) {
    quarantine.update(next);
  }

  @Override
  public void evacuationChanged(EvacuatedZones next) {
    warmupLimiter.onEvacuationChanged(evacuatedZones, next, upstreams.all(), now());
    evacuatedZones = next;
    logger.atInfo().log(
        "evacuation: zones %s get no new requests since index %s", next.zones(), next.index());
  }

  private Optional<WarmupSettings> warmupSettings(String service) {
    return Optional.ofNullable(configuration)
        .flatMap(c -> Optional.ofNullable(c.services().get(service)))
        .flatMap(ServiceSettings::warmup);
  }

  WarmupLimiter warmupLimiter() {
    return warmupLimiter;
  }

  /** Returns whether the upstreams of an availability zone get no new requests. */
  boolean isEvacuated(String zone) {
    return evacuatedZones.contains(zone);
  }

  /** Returns whether requests can be served. */
  public boolean isReady() {
    return !isDraining() && configuration != null && !upstreams.isEmpty();
  }

  /**
   * Starts draining: each response from now on closes its connection, so that callers leave, and a
   * request that may outlast the schedule is refused.
   */
  public void startDraining(DrainSchedule schedule) {
    drainSchedule = schedule;
    logger.atInfo().log(
        "drain: %s requests are open, the rest ends in %s ms",
        openExchanges, schedule.endMillis() - now());
  }

  /** Closes connections without a request, and the others when their request has ended. */
  public void closeIdleClients() {
    closingIdle = true;
    Set.copyOf(clients).forEach(ClientConnection::closeIfIdle);
  }

  /**
   * Ends all requests that are open, each with a response if none has begun, closes the listener
   * and then all connections. Requests that have arrived by then are refused.
   *
   * @return a future that is completed once all connections are closed
   */
  public CompletableFuture<Void> stop(Runnable closeListener) {
    stopped = true;
    Set.copyOf(clients).forEach(ClientConnection::endExchange);
    CompletableFuture<Void> closed = new CompletableFuture<>();
    afterReading(
        () -> {
          closeListener.run();
          afterReading(
              () -> {
                Set.copyOf(clients).forEach(ClientConnection::close);
                closed.complete(null);
              });
        });
    return closed;
  }

  /**
   * Runs a task after the event loop has accepted and read what has arrived from callers. Without
   * this, a task that was queued while the loop was busy or had no processor would close
   * connections with a request that has not been read. While callers go on sending, the task is put
   * off a limited number of times.
   */
  public void afterReading(Runnable task) {
    afterReading(task, MAX_READING_DELAYS);
  }

  private void afterReading(Runnable task, int delaysLeft) {
    long before = arrivals;
    loop.schedule(
        () -> {
          if (arrivals == before || delaysLeft == 0) {
            task.run();
          } else {
            afterReading(task, delaysLeft - 1);
          }
        },
        READING_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Records that a caller's connection was accepted or read. */
  void onArrival() {
    arrivals++;
  }

  /** Returns the number of requests that have no complete response yet. */
  public int openExchanges() {
    return openExchanges;
  }

  /** Returns whether a response is not complete yet, or not yet written to its caller. */
  public boolean hasOpenResponses() {
    return openExchanges > 0 || unwrittenResponses > 0;
  }

  /**
   * Returns whether the router can stop without cutting a request: none is open or being read, and
   * no caller is likely to send one at this moment.
   */
  public boolean canStop() {
    return !hasOpenResponses() && clients.stream().noneMatch(ClientConnection::isRequestExpected);
  }

  void responseWriteStarted() {
    unwrittenResponses++;
  }

  void responseWriteEnded() {
    unwrittenResponses--;
  }

  boolean isDraining() {
    return drainSchedule != null;
  }

  /** Returns whether a request that ends within {@code limitMillis} may be served. */
  boolean admits(long limitMillis) {
    return !stopped && (drainSchedule == null || drainSchedule.admits(now(), limitMillis));
  }

  boolean isClosingIdle() {
    return closingIdle;
  }

  void exchangeStarted() {
    openExchanges++;
  }

  void exchangeEnded() {
    openExchanges--;
  }

  void clientConnected(ClientConnection client) {
    clients.add(client);
  }

  void clientDisconnected(ClientConnection client) {
    clients.remove(client);
    responseBytes.set(client, 0);
  }

  /** Reserves memory for a request body, or returns false if too little is left. */
  boolean reserveBuffer(int bytes) {
    if (bufferedBytes + bytes > settings.maxBufferedBytes()) {
      return false;
    }
    bufferedBytes += bytes;
    return true;
  }

  void releaseBuffer(int bytes) {
    bufferedBytes -= bytes;
  }

  /** Records the bytes of responses that are kept for a caller; if all are too many, some go. */
  void responseBytesHeld(ClientConnection client) {
    responseBytes.set(client, client.heldResponseBytes());
    if (responseBytes.isExceeded() && !sheddingResponses) {
      sheddingResponses = true;
      loop.execute(this::shedResponses);
    }
  }

  private void shedResponses() {
    sheddingResponses = false;
    // The records of callers that have read since then are out of date.
    clients.forEach(c -> responseBytes.set(c, c.heldResponseBytes()));
    while (responseBytes.isExceeded()) {
      ClientConnection client = responseBytes.largest().orElseThrow();
      long before = client.heldResponseBytes();
      client.shedResponse();
      shedResponseCount++;
      // What was forwarded counts until the caller has read it, and may be shed again later.
      long after = client.heldResponseBytes();
      responseBytes.set(client, after < before ? after : 0);
    }
  }

  RetryAllowance retryAllowance(String service) {
    return retryAllowances.computeIfAbsent(
        service,
        s ->
            new RetryAllowance(
                settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis()));
  }

  /** Returns the configuration, or null before the first one. */
  GatewayConfiguration configuration() {
    return configuration;
  }

  ClientLimits limits() {
    return configuration == null ? ClientLimits.DEFAULT : configuration.limits();
  }

  GatewayHeaderNames headerNames() {
    return headerNames;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  UpstreamConnections upstreams() {
    return upstreams;
  }

  UpstreamSelector upstreamSelector() {
    return upstreamSelector;
  }

  PrepaidTokens prepaid() {
    return prepaid;
  }

  LoadSynchronizer loadSynchronizer() {
    return loadSynchronizer;
  }

  PromptQuarantine quarantine() {
    return quarantine;
  }

  UpstreamRateLimiter rateLimiter() {
    return rateLimiter;
  }

  int routerCount() {
    return siteClient.routerCount();
  }

  EventLoop loop() {
    return loop;
  }

  long now() {
    return clock.nowMillis();
  }
}
