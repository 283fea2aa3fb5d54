package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.goldcrestfall.core.admission.AdmissionQueue;
import org.goldcrestfall.core.admission.CapacityEstimator;
import org.goldcrestfall.core.admission.QueuedRequest;
import org.goldcrestfall.core.admission.Refusal;
import org.goldcrestfall.core.admission.SlotTimes;
import org.goldcrestfall.core.routing.Candidate;
import org.goldcrestfall.core.routing.Router;
import org.goldcrestfall.core.routing.RoutingRequest;
import org.goldcrestfall.core.routing.Send;

/** A router of the benchmark: the decision code, fed with late reports of all engines. */
final class RouterModel {

  private record EngineReport(int running, int waiting, long measuredMillis) {}

  private final Simulation simulation;
  private final List<EngineModel> engines;
  private final Router router;
  private final AdmissionQueue queue;
  private final SlotTimes slotTimes = new SlotTimes();
  private final int routers;
  private final Measurements measurements;
  private final List<EngineReport> reports = new ArrayList<>();
  private final java.util.Map<String, BenchRequest> queuedRequests = new java.util.HashMap<>();

  RouterModel(
      Simulation simulation,
      List<EngineModel> engines,
      Router router,
      boolean admission,
      int routers,
      Measurements measurements) {
    this.simulation = simulation;
    this.engines = engines;
    this.router = router;
    queue =
        admission ? new AdmissionQueue(512, 16L << 20, BenchPatienceClass.RESERVED_SHARES) : null;
    this.routers = routers;
    this.measurements = measurements;
    engines.forEach(e -> reports.add(new EngineReport(0, 0, 0)));
  }

  void onArrival(BenchRequest request) {
    if (queue == null) {
      dispatch(request);
      return;
    }
    BenchPatienceClass c = request.patienceClass();
    QueuedRequest queued =
        new QueuedRequest(
            request.id(),
            c.name(),
            c.pricePerMille,
            c.priority,
            request.deadlineMillis(),
            slotTimes.leadMillis(c.name(), c.deadlineMillis),
            slotTimes.holdMillis(c.name()),
            4L * request.promptTokens());
    queuedRequests.put(request.id(), request);
    recordRefusals(queue.offer(queued, usableSlots(), simulation.now()));
    dispatchQueued();
  }

  /** Applies a load report and the cache events that arrive with it. */
  void onReport(
      int engine,
      int running,
      int waitingRequests,
      long measuredMillis,
      List<org.goldcrestfall.core.routing.CacheEvent> events) {
    if (measuredMillis > reports.get(engine).measuredMillis) {
      reports.set(engine, new EngineReport(running, waitingRequests, measuredMillis));
    }
    events.forEach(e -> router.onCacheEvent(engineName(engine), e, simulation.now()));
    dispatchQueued();
  }

  /** Refuses late work and dispatches; called every 50 ms. */
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
    RoutingRequest routing =
        new RoutingRequest("m", request.prefixHashes(), request.promptTokens(), Set.of());
    Candidate chosen = router.choose(routing, candidates(), now).orElseThrow();
    Send send = router.onSend(chosen.name(), routing, now);
    measurements.onDispatch(request, now);
    int index = Integer.parseInt(chosen.name().substring(1));
    engines
        .get(index)
        .submit(
            request,
            new EngineModel.Listener() {
              private long firstMillis;

              @Override
              public void onFirstToken() {
                firstMillis = simulation.now();
                router.onFirstToken(send, firstMillis);
                if (queue != null) {
                  queue.onFirstToken(request.id());
                  dispatchQueued();
                }
                measurements.onFirstToken(request, firstMillis);
              }

              @Override
              public void onEnd() {
                long end = simulation.now();
                router.onCompletion(send, end);
                slotTimes.onCompletion(
                    request.patienceClass().name(), firstMillis - now, end - now);
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
    return CapacityEstimator.usableSlots(candidates(), router.load(), routers, simulation.now());
  }

  private List<Candidate> candidates() {
    List<Candidate> list = new ArrayList<>(engines.size());
    for (int i = 0; i < engines.size(); i++) {
      EngineReport r = reports.get(i);
      list.add(
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
    return list;
  }

  private static String engineName(int engine) {
    return "e" + engine;
  }
}
