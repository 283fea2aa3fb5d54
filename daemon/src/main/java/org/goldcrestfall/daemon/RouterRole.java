package org.goldcrestfall.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import org.apache.pekko.actor.typed.ActorSystem;
import org.goldcrestfall.core.admission.AdmissionQueue;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.limit.FleetLimiter;
import org.goldcrestfall.core.limit.LimitSettings;
import org.goldcrestfall.core.membership.Member;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.retry.OutlierDetector;
import org.goldcrestfall.core.retry.OutlierSettings;
import org.goldcrestfall.core.retry.RetryPolicy;
import org.goldcrestfall.core.retry.RetrySettings;
import org.goldcrestfall.core.routing.CacheEvent;
import org.goldcrestfall.core.routing.PrefixHasher;
import org.goldcrestfall.core.routing.Router;
import org.goldcrestfall.core.routing.RouterSettings;
import org.goldcrestfall.daemon.answer.AnswerService;
import org.goldcrestfall.daemon.answer.RemoteAnswers;
import org.goldcrestfall.daemon.budget.BookingService;
import org.goldcrestfall.daemon.budget.BudgetService;
import org.goldcrestfall.daemon.budget.TransferService;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.filter.AdmissionFilter;
import org.goldcrestfall.daemon.filter.AuthenticationFilter;
import org.goldcrestfall.daemon.filter.BookingFilter;
import org.goldcrestfall.daemon.filter.BookingRecordFilter;
import org.goldcrestfall.daemon.filter.BudgetReservationFilter;
import org.goldcrestfall.daemon.filter.ChatFilter;
import org.goldcrestfall.daemon.filter.FilterChain;
import org.goldcrestfall.daemon.filter.LimitFilter;
import org.goldcrestfall.daemon.filter.ParseFilter;
import org.goldcrestfall.daemon.filter.PatienceFilter;
import org.goldcrestfall.daemon.filter.ReplayFilter;
import org.goldcrestfall.daemon.filter.RequestIdFilter;
import org.goldcrestfall.daemon.filter.ServiceFilter;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;
import org.goldcrestfall.daemon.peer.PeerListener;
import org.goldcrestfall.daemon.peer.PeerService;
import org.goldcrestfall.daemon.settings.Settings;
import org.goldcrestfall.daemon.upstream.ChatStream;
import org.goldcrestfall.daemon.upstream.EngineClient;
import org.goldcrestfall.daemon.upstream.KnownUpstream;
import org.goldcrestfall.daemon.upstream.ServiceClient;
import org.goldcrestfall.daemon.upstream.SharedRetryPolicy;
import org.goldcrestfall.daemon.upstream.UpstreamPool;
import org.goldcrestfall.wire.PeerTransport;

/** Runs the router role of a daemon, which serves callers, for one registered incarnation. */
final class RouterRole {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long TICK_INTERVAL_MILLIS = 100;
  private static final long MAINTENANCE_INTERVAL_MILLIS = 1_000;
  private static final long CLOSED_INCARNATION_CHECK_INTERVAL_MILLIS = 5_000;

  /**
   * Time after the start in which all live upstreams are expected to be announced: twice the
   * longest time to live of an announcement.
   */
  private static final long UPSTREAM_DISCOVERY_MILLIS = 10_000;

  private static final int MAX_ANSWERS = 10_000;
  private static final long MAX_TOTAL_ANSWER_BYTES = 32L << 20;
  private static final long MAX_ANSWER_AGE_MILLIS = 300_000;

  private final Settings settings;
  private final PeerService peers;
  private final ControlService control;
  private final MillisClock clock;
  private final UpstreamPool pool;
  private final BudgetService budgets;
  private final BookingService bookings;
  private final TransferService transfers;
  private final AdmissionFilter admission;
  private final LimitFilter limits;
  private final FilterChain chain;
  private final long startedMillis;

  /** The components of the daemon that the router role uses. */
  record Dependencies(
      Settings settings,
      ActorSystem<?> system,
      PeerTransport transport,
      PeerService peers,
      ControlService control,
      DaemonMetrics metrics,
      MillisClock clock,
      MillisClock utcClock,
      ScheduledExecutorService timer) {}

  RouterRole(Dependencies dependencies, BudgetService budgetService, long seed) {
    settings = dependencies.settings();
    peers = dependencies.peers();
    control = dependencies.control();
    clock = dependencies.clock();
    budgets = budgetService;
    startedMillis = clock.nowMillis();
    Router router = new Router(settings.host(), settings.zone(), RouterSettings.DEFAULTS, seed);
    pool =
        new UpstreamPool(
            this::knownUpstreams,
            () -> Math.max(1, liveRouters().size()),
            router,
            new OutlierDetector(OutlierSettings.DEFAULTS),
            clock);
    bookings = new BookingService(budgets, control, dependencies.utcClock());
    transfers =
        new TransferService(budgets, dependencies.transport(), control, this::otherRouters, clock);
    limits = new LimitFilter(new FleetLimiter(settings.host(), LimitSettings.DEFAULTS), clock);
    admission =
        new AdmissionFilter(
            new AdmissionQueue(
                settings.limits().maxQueuedRequests(),
                settings.limits().maxQueuedBytes(),
                AdmissionFilter.reservedShares(ConfigView.EMPTY)),
            pool::usableSlots,
            clock,
            dependencies.metrics(),
            dependencies.system().executionContext());
    AnswerService answers =
        new AnswerService(MAX_ANSWERS, MAX_TOTAL_ANSWER_BYTES, MAX_ANSWER_AGE_MILLIS, clock);
    RemoteAnswers remoteAnswers =
        new RemoteAnswers(
            dependencies.transport(),
            answers,
            control,
            this::liveRouters,
            settings.host(),
            settings.peer().endpoint());
    SharedRetryPolicy retries =
        new SharedRetryPolicy(
            new RetryPolicy(RetrySettings.DEFAULTS, seed), clock, dependencies.metrics());
    ServiceClient services = new ServiceClient(dependencies.system());
    ChatStream.Dependencies streams =
        new ChatStream.Dependencies(pool, new EngineClient(dependencies.system()), retries, clock);
    chain =
        new FilterChain(
            List.of(
                new AuthenticationFilter(peers::configView),
                new ParseFilter(dependencies.system(), settings.limits(), this::acceptsModel),
                new RequestIdFilter(),
                new BookingRecordFilter(control),
                new ReplayFilter(dependencies.system(), answers, remoteAnswers),
                limits,
                new PatienceFilter(),
                admission,
                new BudgetReservationFilter(budgets),
                new ChatFilter(
                    dependencies.system(),
                    streams,
                    budgets,
                    answers,
                    dependencies.metrics(),
                    dependencies.utcClock()),
                new ServiceFilter(pool, services, retries, budgets, clock, dependencies.utcClock()),
                new BookingFilter(pool, services, bookings)));
    registerMetrics(dependencies.metrics());
    peers.addListener(new CacheEventForwarder());
    schedulePeriodicTasks(dependencies.timer());
  }

  FilterChain chain() {
    return chain;
  }

  UpstreamPool pool() {
    return pool;
  }

  /**
   * Settles records and returns allotments. Call repeatedly until it returns true, which means that
   * everything is settled and returned and no booking is unanswered.
   */
  boolean drain() {
    return budgets.drain() && bookings.unansweredCount() == 0;
  }

  /** Describes for the log what {@link #drain} still waits for. */
  String describePendingWork() {
    return budgets.describePendingDrain()
        + ", "
        + bookings.unansweredCount()
        + " bookings unanswered";
  }

  private void registerMetrics(DaemonMetrics m) {
    m.registerGauge("queued_requests", "Requests that wait for a slot", admission::size);
    m.registerGauge("usable_slots", "Engine slots that this router may use", pool::usableSlots);
    m.registerGauge("unsettled_records", "Records not acknowledged", budgets::unsettledRecords);
    m.registerGauge(
        "unanswered_bookings", "Starts and outcomes without answer", bookings::unansweredCount);
  }

  private void schedulePeriodicTasks(ScheduledExecutorService timer) {
    PeriodicTasks.schedule(timer, TICK_INTERVAL_MILLIS, admission::tick);
    PeriodicTasks.schedule(timer, TICK_INTERVAL_MILLIS, budgets::tick);
    PeriodicTasks.schedule(timer, TICK_INTERVAL_MILLIS, transfers::tick);
    PeriodicTasks.schedule(timer, MAINTENANCE_INTERVAL_MILLIS, transfers::resendAndReport);
    PeriodicTasks.schedule(timer, MAINTENANCE_INTERVAL_MILLIS, this::returnUnneededTokens);
    PeriodicTasks.schedule(timer, MAINTENANCE_INTERVAL_MILLIS, this::updateLimits);
    PeriodicTasks.schedule(
        timer, CLOSED_INCARNATION_CHECK_INTERVAL_MILLIS, transfers::checkClosedIncarnations);
  }

  private void returnUnneededTokens() {
    control
        .query(new ControlQuery.Shortages())
        .whenComplete(
            (shortages, e) -> {
              Set<String> recalled = new HashSet<>();
              if (e == null) {
                shortages.forEach(s -> recalled.add(s.path("workspace").asText()));
              }
              budgets.returnSurplus(recalled);
            });
  }

  private void updateLimits() {
    Set<String> live =
        liveRouters().stream().map(RemoteAnswers.LiveRouter::host).collect(Collectors.toSet());
    limits.update(live, LimitUsageGossip.publishAndCollect(peers, limits.nextUsageReport()));
  }

  /** Returns whether a model is known; during upstream discovery, every model is accepted. */
  private boolean acceptsModel(String model) {
    return pool.isKnownModel(model) || !isDiscoveryComplete();
  }

  private boolean isDiscoveryComplete() {
    return clock.nowMillis() - startedMillis >= UPSTREAM_DISCOVERY_MILLIS;
  }

  /** Returns whether an upstream is known or the time for upstream discovery has passed. */
  boolean isReady() {
    return isDiscoveryComplete() || !peers.upstreams().entries().isEmpty();
  }

  private List<KnownUpstream> knownUpstreams() {
    long now = clock.nowMillis();
    return peers.upstreams().routable(now).stream()
        .map(
            e -> {
              UpstreamAnnouncement a = e.announcement();
              return new KnownUpstream(
                  a.name(),
                  a.address(),
                  a.zone(),
                  Set.copyOf(a.models()),
                  a.service(),
                  (int) a.load().running(),
                  (int) a.load().waiting(),
                  (int) a.load().slots(),
                  e.loadAgeMillis(now),
                  false);
            })
        .toList();
  }

  /** Returns the live routers, which unlike plain control members publish their usage of limits. */
  private List<RemoteAnswers.LiveRouter> liveRouters() {
    return peers.members().stream()
        .filter(m -> m.live() && m.boot() > 0 && isRouter(m))
        .map(m -> new RemoteAnswers.LiveRouter(m.host(), m.zone(), m.address()))
        .toList();
  }

  private boolean isRouter(Member m) {
    return m.host().equals(settings.host())
        || peers.milliRatesByHost(LimitUsageGossip.ROUTER_KEY).containsKey(m.host());
  }

  private Map<Incarnation, String> otherRouters() {
    return peers.members().stream()
        .filter(m -> m.live() && m.boot() > 0 && isRouter(m))
        .filter(m -> !m.host().equals(settings.host()))
        .collect(Collectors.toMap(Member::incarnation, Member::address));
  }

  /** Passes the cache events of upstream announcements to the upstream pool. */
  private final class CacheEventForwarder implements PeerListener {

    private final Map<String, Long> engineIncarnations = new HashMap<>();

    @Override
    public void upstreamAnnounced(UpstreamAnnouncement a) {
      Long known = engineIncarnations.put(a.name(), a.incarnation());
      if (known != null && known != a.incarnation()) {
        // A restarted engine has an empty cache and restarts the sequence of its cache events.
        pool.remove(a.name());
      }
      for (UpstreamAnnouncement.CacheEvent e : a.cacheEvents()) {
        try {
          pool.onCacheEvent(
              a.name(), new CacheEvent(e.sequence(), PrefixHasher.parse(e.prefix()), e.stored()));
        } catch (IllegalArgumentException f) {
          logger.atFine().log(
              "upstream: ignored a cache event of %s with an invalid prefix hash", a.name());
        }
      }
    }
  }
}
