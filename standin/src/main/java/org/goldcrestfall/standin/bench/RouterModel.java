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

  private record Report(int running, int waiting, long measuredMillis) {}

  private final Simulation simulation;
  private final List<EngineModel> engines;
  private final Router router;
  private final AdmissionQueue queue;
  private final SlotTimes times = new SlotTimes();
  private final int routers;
  private final Measurements measurements;
  private final List<Report> reports = new ArrayList<>();
  private final java.util.Map<String, BenchRequest> waiting = new java.util.HashMap<>();

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
    queue = admission ? new AdmissionQueue(512, 16L << 20, BenchClass.SHARES) : null;
    this.routers = routers;
    this.measurements = measurements;
    engines.forEach(e -> reports.add(new Report(0, 0, 0)));
  }

  void onArrival(BenchRequest request) {
    if (queue == null) {
      dispatch(request);
      return;
    }
    BenchClass c = request.patience();
    QueuedRequest queued =
        new QueuedRequest(
            request.id(),
            c.name(),
            c.pricePerMille,
            c.priority,
            request.deadlineMillis(),
            times.leadMillis(c.name(), c.deadlineMillis),
            times.holdMillis(c.name()),
            4L * request.promptTokens());
    waiting.put(request.id(), request);
    refuse(queue.offer(queued, slots(), simulation.now()));
    pump();
  }

  /** Applies a load report and the cache events that arrive with it. */
  void onReport(
      int engine,
      int running,
      int waitingRequests,
      long measuredMillis,
      List<org.goldcrestfall.core.routing.CacheEvent> events) {
    if (measuredMillis > reports.get(engine).measuredMillis) {
      reports.set(engine, new Report(running, waitingRequests, measuredMillis));
    }
    events.forEach(e -> router.onCacheEvent(name(engine), e, simulation.now()));
    pump();
  }

  /** Refuses late work and dispatches; called every 50 ms. */
  void tick() {
    if (queue != null) {
      refuse(queue.expire(slots(), simulation.now()));
      pump();
    }
  }

  private void pump() {
    if (queue == null) {
      return;
    }
    for (var next = queue.poll(slots(), simulation.now());
        next.isPresent();
        next = queue.poll(slots(), simulation.now())) {
      dispatch(waiting.remove(next.get().id()));
    }
  }

  private void dispatch(BenchRequest request) {
    long now = simulation.now();
    RoutingRequest routing =
        new RoutingRequest("m", request.prefix(), request.promptTokens(), Set.of());
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
                  pump();
                }
                measurements.onFirstToken(request, firstMillis);
              }

              @Override
              public void onEnd() {
                long end = simulation.now();
                router.onCompletion(send, end);
                times.onCompletion(request.patience().name(), firstMillis - now, end - now);
                if (queue != null) {
                  queue.complete(request.id());
                  pump();
                }
              }
            });
  }

  private void refuse(List<Refusal> refusals) {
    for (Refusal r : refusals) {
      measurements.onRefusal(waiting.remove(r.request().id()), r.kind());
    }
  }

  private double slots() {
    return CapacityEstimator.usableSlots(candidates(), router.load(), routers, simulation.now());
  }

  private List<Candidate> candidates() {
    List<Candidate> list = new ArrayList<>(engines.size());
    for (int i = 0; i < engines.size(); i++) {
      Report r = reports.get(i);
      list.add(
          new Candidate(
              name(i),
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

  private static String name(int engine) {
    return "e" + engine;
  }
}
