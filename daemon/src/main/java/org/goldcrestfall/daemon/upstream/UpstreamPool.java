package org.goldcrestfall.daemon.upstream;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.goldcrestfall.core.admission.CapacityEstimator;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.retry.OutlierDetector;
import org.goldcrestfall.core.routing.CacheEvent;
import org.goldcrestfall.core.routing.Candidate;
import org.goldcrestfall.core.routing.PrefixHasher;
import org.goldcrestfall.core.routing.Router;
import org.goldcrestfall.core.routing.RoutingRequest;
import org.goldcrestfall.core.routing.Send;

/**
 * Picks upstreams for requests with the router's decision code, and feeds it with what happened.
 * Thread-safe: one lock guards the decision state, whose operations are short.
 */
public final class UpstreamPool implements EngineSelector {

  /** Usual bytes of a prompt token, for estimates that money does not depend on. */
  private static final int BYTES_PER_TOKEN = 4;

  private final Supplier<List<KnownUpstream>> known;
  private final IntSupplier liveRouters;
  private final Router router;
  private final OutlierDetector outliers;
  private final MillisClock clock;
  private final Set<String> modelsSeen = ConcurrentHashMap.newKeySet();

  /**
   * Creates the pool.
   *
   * @param known the upstreams with a fresh announcement
   * @param liveRouters number of routers that share them, this one included
   */
  public UpstreamPool(
      Supplier<List<KnownUpstream>> known,
      IntSupplier liveRouters,
      Router router,
      OutlierDetector outliers,
      MillisClock clock) {
    this.known = known;
    this.liveRouters = liveRouters;
    this.router = router;
    this.outliers = outliers;
    this.clock = clock;
  }

  /** Returns whether an engine with the model was known at any time since the start. */
  public boolean isKnownModel(String model) {
    if (modelsSeen.contains(model)) {
      return true;
    }
    known.get().forEach(u -> modelsSeen.addAll(u.models()));
    return modelsSeen.contains(model);
  }

  /** Returns the models that engines serve now, sorted. */
  public List<String> models() {
    return known.get().stream().flatMap(u -> u.models().stream()).distinct().sorted().toList();
  }

  /** Returns the number of engine slots that this router may use now. */
  public double usableSlots() {
    List<Candidate> engines =
        known.get().stream()
            .filter(u -> u.service().isEmpty())
            .map(KnownUpstream::candidate)
            .toList();
    synchronized (this) {
      return CapacityEstimator.usableSlots(
          engines, router.load(), Math.max(1, liveRouters.getAsInt()), clock.nowMillis());
    }
  }

  /** Applies a cache event of an engine. */
  public synchronized void onCacheEvent(String engine, CacheEvent event) {
    router.onCacheEvent(engine, event, clock.nowMillis());
  }

  /** Forgets an upstream whose announcement has expired. */
  public synchronized void remove(String upstream) {
    router.remove(upstream);
    outliers.remove(upstream);
  }

  @Override
  public Optional<Selection> select(ChatCall call, Set<String> excluded) {
    List<Long> prefix = PrefixHasher.hash(call.model(), call.promptText());
    int promptTokens = (int) (call.promptBound() / BYTES_PER_TOKEN);
    return choose("", call.model(), prefix, promptTokens, excluded);
  }

  /** Picks an instance of a plain service. */
  public Optional<Selection> selectService(String service, Set<String> excluded) {
    return choose(service, "", List.of(), 0, excluded);
  }

  private Optional<Selection> choose(
      String service, String model, List<Long> prefix, int promptTokens, Set<String> excluded) {
    List<KnownUpstream> pool =
        known.get().stream().filter(u -> u.service().equals(service)).toList();
    List<Candidate> candidates = pool.stream().map(KnownUpstream::candidate).toList();
    long now = clock.nowMillis();
    synchronized (this) {
      Set<String> avoid = new HashSet<>(excluded);
      avoid.addAll(outliers.ejected(pool.stream().map(KnownUpstream::name).toList(), now));
      RoutingRequest request = new RoutingRequest(model, prefix, promptTokens, avoid);
      Optional<Candidate> choice = router.choose(request, candidates, now);
      if (choice.isEmpty()) {
        return Optional.empty();
      }
      String name = choice.get().name();
      Send send = router.onSend(name, request, now);
      KnownUpstream u = pool.stream().filter(k -> k.name().equals(name)).findFirst().orElseThrow();
      return Optional.of(new Attempt(u, send));
    }
  }

  private final class Attempt implements Selection {

    private final KnownUpstream upstream;
    private final Send send;

    Attempt(KnownUpstream upstream, Send send) {
      this.upstream = upstream;
      this.send = send;
    }

    @Override
    public String name() {
      return upstream.name();
    }

    @Override
    public String address() {
      return upstream.address();
    }

    @Override
    public void firstToken() {
      synchronized (UpstreamPool.this) {
        router.onFirstToken(send, clock.nowMillis());
      }
    }

    @Override
    public void finished() {
      long now = clock.nowMillis();
      synchronized (UpstreamPool.this) {
        router.onCompletion(send, now);
        outliers.onSuccess(name(), now);
      }
    }

    @Override
    public void failed() {
      long now = clock.nowMillis();
      synchronized (UpstreamPool.this) {
        router.onCompletion(send, now);
        outliers.onFailure(name(), now);
      }
    }
  }
}
