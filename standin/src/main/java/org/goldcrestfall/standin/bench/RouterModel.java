package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.goldcrestfall.core.admission.AdmissionQueue;
import org.goldcrestfall.core.admission.CapacityEstimator;
import org.goldcrestfall.core.admission.QueuedRequest;
import org.goldcrestfall.core.admission.Refusal;
import org.goldcrestfall.core.admission.SlotTimeEstimator;
import org.goldcrestfall.core.routing.Candidate;
import org.goldcrestfall.core.routing.Router;
import org.goldcrestfall.core.routing.RoutingRequest;
import org.goldcrestfall.core.routing.SentRequest;

/**
 * A simulated router: runs the production routing and admission code on delayed reports of all
 * engines.
 */
final class RouterModel {

  private record EngineReport(int running, int waiting, long measuredMillis) {}

  private final Simulation simulation;
  private final List<EngineModel> engines;
  private final Router router;
  private final AdmissionQueue queue;
  private final SlotTimeEstimator slotTimeEstimator = new SlotTimeEstimator();
  private final int routerCount;
  private final Measurements measurements;
  private final List<EngineReport> reports = new ArrayList<>();
  private final java.util.Map<String, BenchRequest> queuedRequests = new java.util.HashMap<>();

  RouterModel(
      Simulation simulation,
      List<EngineModel> engines,
      Router router,
      boolean admission,
      int routerCount,
      Measurements measurements) {
    this.simulation = simulation;
    this.engines = engines;
    this.router = router;
    queue =
        admission ? new AdmissionQueue(512, 16L << 20, BenchPatienceClass.RESERVED_SHARES) : null;
    this.routerCount = routerCount;
    this.measurements = measurements;
    engines.forEach(e -> reports.add(new EngineReport(0, 0, 0)));
  }

  void onArrival(BenchRequest request) {
    if (queue == null) {
      dispatch(request);
      return;
    }
    BenchPatienceClass patienceClass = request.patienceClass();
    QueuedRequest queued =
        new QueuedRequest(
            request.id(),
            patienceClass.name(),
            patienceClass.pricePerMille,
            patienceClass.priority,
            request.deadlineMillis(),
            slotTimeEstimator.firstTokenMillis(patienceClass.name(), patienceClass.deadlineMillis),
            slotTimeEstimator.holdMillis(patienceClass.name()),
            4L * request.promptTokens());
    queuedRequests.put(request.id(), request);
    recordRefusals(queue.offer(queued, usableSlots(), simulation.now()));
    dispatchQueued();
  }

  /** Applies a load report unless it is older than the last one, and its cache events. */
  void onReport(
      int engineIndex,
      int running,
      int waiting,
      long measuredMillis,
      List<org.goldcrestfall.core.routing.CacheEvent> events) {
    if (measuredMillis > reports.get(engineIndex).measuredMillis) {
      reports.set(engineIndex, new EngineReport(running, waiting, measuredMillis));
    }
    events.forEach(e -> router.onCacheEvent(engineName(engineIndex), e, simulation.now()));
    dispatchQueued();
  }

  /** Refuses requests that can no longer meet their deadline and dispatches; called every 50 ms. */
  void tick() {
    if (queue != null) {
      recordRefusals(queue.expire(usableSlots(), simulation.now()));
      dispatchQueued();
    }
  }

  private void dispatchQueued() {
    if (queue == null) {
      return;
    }
    for (var next = queue.poll(usableSlots(), simulation.now());
        next.isPresent();
        next = queue.poll(usableSlots(), simulation.now())) {
      dispatch(queuedRequests.remove(next.get().id()));
    }
  }

  private void dispatch(BenchRequest request) {
    long now = simulation.now();
    RoutingRequest routingRequest =
        new RoutingRequest("m", request.prefixHashes(), request.promptTokens(), Set.of());
    Candidate chosen = router.choose(routingRequest, candidates(), now).orElseThrow();
    SentRequest sentRequest = router.onSend(chosen.name(), routingRequest, now);
    measurements.onDispatch(request, now);
    int engineIndex = Integer.parseInt(chosen.name().substring(1));
    engines
        .get(engineIndex)
        .submit(
            request,
            new EngineModel.Listener() {
              private long firstTokenMillis;

              @Override
              public void onFirstToken() {
                firstTokenMillis = simulation.now();
                router.onFirstToken(sentRequest, firstTokenMillis);
                if (queue != null) {
                  queue.onFirstToken(request.id());
                  dispatchQueued();
                }
                measurements.onFirstToken(request, firstTokenMillis);
              }

              @Override
              public void onEnd() {
                long end = simulation.now();
                router.onCompletion(sentRequest, end);
                slotTimeEstimator.onCompletion(
                    request.patienceClass().name(), firstTokenMillis - now, end - now);
                if (queue != null) {
                  queue.complete(request.id());
                  dispatchQueued();
                }
              }
            });
  }

  private void recordRefusals(List<Refusal> refusals) {
    for (Refusal r : refusals) {
      measurements.onRefusal(queuedRequests.remove(r.request().id()), r.kind());
    }
  }

  private double usableSlots() {
    return CapacityEstimator.usableSlots(
        candidates(), router.load(), routerCount, simulation.now());
  }

  private List<Candidate> candidates() {
    List<Candidate> candidates = new ArrayList<>(engines.size());
    for (int i = 0; i < engines.size(); i++) {
      EngineReport r = reports.get(i);
      candidates.add(
          new Candidate(
              engineName(i),
              "zone-" + i % 3,
              Set.of("m"),
              Set.of(),
              r.running,
              r.waiting,
              EngineModel.SLOTS,
              simulation.now() - r.measuredMillis,
              false));
    }
    return candidates;
  }

  private static String engineName(int engineIndex) {
    return "e" + engineIndex;
  }
}
