package org.goldcrestfall.daemon.filter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.admission.AdmissionQueue;
import org.goldcrestfall.core.admission.QueuedRequest;
import org.goldcrestfall.core.admission.Refusal;
import org.goldcrestfall.core.admission.ReservedShares;
import org.goldcrestfall.core.admission.SlotTimeEstimator;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;

/**
 * Queues chat completions until an engine slot is free for them, ordered by deadline within the
 * reserved shares of the patience classes. Service calls are not queued. Thread-safe.
 */
public final class AdmissionFilter implements RequestFilter {

  /** Memory of a queued request in addition to its body. */
  private static final int REQUEST_OVERHEAD_BYTES = 1_024;

  private final AdmissionQueue queue;
  private final SlotTimeEstimator slotTimeEstimator = new SlotTimeEstimator();
  private final DoubleSupplier usableSlots;
  private final MillisClock clock;
  private final DaemonMetrics metrics;
  private final Executor executor;

  /** Futures of the queued requests, by queue id; each completes when its request may start. */
  private final Map<String, CompletableFuture<Void>> admissions = new HashMap<>();

  private final AtomicLong lastId = new AtomicLong();
  private long sharesRevision = -1;

  /**
   * Creates the filter.
   *
   * @param usableSlots returns the number of engine slots that this router may use now
   * @param executor runs the following filters for requests that leave the queue
   */
  public AdmissionFilter(
      AdmissionQueue queue,
      DoubleSupplier usableSlots,
      MillisClock clock,
      DaemonMetrics metrics,
      Executor executor) {
    this.queue = queue;
    this.usableSlots = usableSlots;
    this.clock = clock;
    this.metrics = metrics;
    this.executor = executor;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    if (!c.isChat()) {
      return next.proceed(c);
    }
    String id = String.valueOf(lastId.incrementAndGet());
    CompletableFuture<Void> admission = new CompletableFuture<>();
    double usable = usableSlots.getAsDouble();
    Decisions d;
    synchronized (this) {
      updateShares(c.config());
      admissions.put(id, admission);
      List<Refusal> refusals = queue.offer(queuedRequest(id, c), usable, clock.nowMillis());
      d = collect(refusals, usable);
    }
    complete(d);
    c.callerDisconnected().thenRun(() -> cancel(id));
    SlotUse use = new SlotUse(id, c.patience().name());
    c.onFirstToken(use::firstToken);
    c.onEnd(use::end);
    return admission.thenComposeAsync(
        v -> {
          use.start();
          return next.proceed(c);
        },
        executor);
  }

  /**
   * Refuses the requests that can no longer meet their deadline and starts those that have a free
   * slot. Call it about every 100 ms.
   */
  public void tick() {
    double usable = usableSlots.getAsDouble();
    Decisions d;
    synchronized (this) {
      d = collect(queue.expire(usable, clock.nowMillis()), usable);
    }
    complete(d);
  }

  /** Returns the number of waiting requests. */
  public synchronized int size() {
    return queue.size();
  }

  /** Measures the slot use of one request, which updates the estimates for later requests. */
  private final class SlotUse {

    private final String id;
    private final String patienceClass;
    private long startMillis = -1;
    private long firstTokenMillis = -1;

    SlotUse(String id, String patienceClass) {
      this.id = id;
      this.patienceClass = patienceClass;
    }

    void start() {
      startMillis = clock.nowMillis();
    }

    void firstToken() {
      firstTokenMillis = clock.nowMillis();
      double usable = usableSlots.getAsDouble();
      Decisions d;
      synchronized (AdmissionFilter.this) {
        queue.onFirstToken(id);
        d = collect(List.of(), usable);
      }
      complete(d);
    }

    void end() {
      double usable = usableSlots.getAsDouble();
      Decisions d;
      synchronized (AdmissionFilter.this) {
        if (startMillis >= 0 && firstTokenMillis >= 0) {
          slotTimeEstimator.onCompletion(
              patienceClass, firstTokenMillis - startMillis, clock.nowMillis() - startMillis);
        }
        queue.complete(id);
        d = collect(List.of(), usable);
      }
      complete(d);
    }
  }

  private void cancel(String id) {
    CompletableFuture<Void> admission;
    synchronized (this) {
      if (!queue.cancel(id)) {
        return;
      }
      admission = admissions.remove(id);
    }
    admission.completeExceptionally(
        new RequestFailure(ErrorKind.OVERLOADED, "The caller closed the connection."));
  }

  private record Decisions(List<CompletableFuture<Void>> started, List<Refused> refused) {}

  private record Refused(CompletableFuture<Void> admission, Refusal refusal) {}

  /**
   * Polls the requests that may start and takes their futures and those of the refused requests.
   * Call it under the lock; {@link #complete} then completes the futures without the lock.
   */
  private Decisions collect(List<Refusal> refusals, double usable) {
    List<Refused> refused = new ArrayList<>();
    for (Refusal r : refusals) {
      refused.add(new Refused(admissions.remove(r.request().id()), r));
    }
    List<CompletableFuture<Void>> started = new ArrayList<>();
    Optional<QueuedRequest> q = queue.poll(usable, clock.nowMillis());
    while (q.isPresent()) {
      started.add(admissions.remove(q.get().id()));
      q = queue.poll(usable, clock.nowMillis());
    }
    return new Decisions(started, refused);
  }

  private void complete(Decisions d) {
    for (Refused r : d.refused()) {
      ErrorKind k = r.refusal().kind();
      metrics.countRefusal(k.code(), r.refusal().request().patienceClass());
      r.admission().completeExceptionally(new RequestFailure(k, message(k)));
    }
    d.started().forEach(a -> a.complete(null));
  }

  private static String message(ErrorKind k) {
    return k == ErrorKind.DEADLINE_UNREACHABLE
        ? "The request cannot be started in time for its patience class."
        : "The router is overloaded.";
  }

  private QueuedRequest queuedRequest(String id, RequestContext c) {
    String patienceClass = c.patience().name();
    return new QueuedRequest(
        id,
        patienceClass,
        c.patience().pricePerMille(),
        c.patience().priority(),
        c.deadlineMillis(),
        slotTimeEstimator.firstTokenMillis(patienceClass, c.patience().deadlineMillis()),
        slotTimeEstimator.holdMillis(patienceClass),
        c.bodyBytes() + REQUEST_OVERHEAD_BYTES);
  }

  private void updateShares(ConfigView v) {
    if (v.revision() == sharesRevision) {
      return;
    }
    sharesRevision = v.revision();
    queue.setShares(reservedShares(v));
  }

  /** Returns the reserved shares of a configuration, scaled down if their sum exceeds 1. */
  public static ReservedShares reservedShares(ConfigView v) {
    int sum = 0;
    for (ConfigView.PatienceClass p : v.classes().values()) {
      sum += p.reservedSharePerMille();
    }
    Map<String, Integer> out = new HashMap<>();
    for (ConfigView.PatienceClass p : v.classes().values()) {
      int share = p.reservedSharePerMille();
      out.put(p.name(), sum <= 1000 ? share : (int) (share * 1000L / sum));
    }
    return new ReservedShares(out);
  }
}
