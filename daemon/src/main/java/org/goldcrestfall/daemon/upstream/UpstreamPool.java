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
import org.goldcrestfall.core.routing.SentRequest;

/**
 * Selects upstreams for requests with a {@link Router} and an {@link OutlierDetector}, and reports
 * the results of the attempts to both. Thread-safe: one lock guards both, whose operations are
 * short.
 */
public final class UpstreamPool implements EngineSelector {

  /** Typical size of a prompt token, for estimates that do not affect billing. */
  private static final int BYTES_PER_TOKEN = 4;

  private final Supplier<List<KnownUpstream>> knownUpstreams;
  private final IntSupplier liveRouters;
  private final Router router;
  private final OutlierDetector outliers;
  private final MillisClock clock;
  private final Set<String> announcedModels = ConcurrentHashMap.newKeySet();

  /**
   * Creates the pool.
   *
   * @param knownUpstreams the upstreams whose announcement has not expired
   * @param liveRouters number of routers that share the upstreams, including this one
   */
  public UpstreamPool(
      Supplier<List<KnownUpstream>> knownUpstreams,
      IntSupplier liveRouters,
      Router router,
      OutlierDetector outliers,
      MillisClock clock) {
    this.knownUpstreams = knownUpstreams;
    this.liveRouters = liveRouters;
    this.router = router;
    this.outliers = outliers;
    this.clock = clock;
  }

  /** Returns whether an engine has announced the model since this router started. */
  public boolean isKnownModel(String model) {
    if (announcedModels.contains(model)) {
      return true;
    }
    knownUpstreams.get().forEach(u -> announcedModels.addAll(u.models()));
    return announcedModels.contains(model);
  }

  /** Returns the models that the known engines serve, sorted. */
  public List<String> models() {
    return knownUpstreams.get().stream()
        .flatMap(u -> u.models().stream())
        .distinct()
        .sorted()
        .toList();
  }

  /** Returns the number of engine slots that this router may use now. */
  public double usableSlots() {
    List<Candidate> engines =
        knownUpstreams.get().stream()
            .filter(u -> u.service().isEmpty())
            .map(KnownUpstream::toCandidate)
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

  /** Discards what the router and the outlier detector have recorded about an upstream. */
  public synchronized void remove(String upstream) {
    router.remove(upstream);
    outliers.remove(upstream);
  }

  @Override
  public Optional<Selection> select(ChatCall call, Set<String> excluded) {
    List<Long> prefix = PrefixHasher.hash(call.model(), call.promptText());
    int promptTokens = (int) (call.promptTokenBound() / BYTES_PER_TOKEN);
    return selectUpstream("", call.model(), prefix, promptTokens, excluded);
  }

  /** Selects an instance of a plain service, or returns empty if there is none. */
  public Optional<Selection> selectService(String service, Set<String> excluded) {
    return selectUpstream(service, "", List.of(), 0, excluded);
  }

  /** Selects an upstream. {@code service} is empty for an engine, {@code model} for a service. */
  private Optional<Selection> selectUpstream(
      String service, String model, List<Long> prefix, int promptTokens, Set<String> excluded) {
    List<KnownUpstream> upstreams =
        knownUpstreams.get().stream().filter(u -> u.service().equals(service)).toList();
    List<Candidate> candidates = upstreams.stream().map(KnownUpstream::toCandidate).toList();
    long now = clock.nowMillis();
    synchronized (this) {
      Set<String> avoided = new HashSet<>(excluded);
      avoided.addAll(outliers.ejected(upstreams.stream().map(KnownUpstream::name).toList(), now));
      RoutingRequest request = new RoutingRequest(model, prefix, promptTokens, avoided);
      Optional<Candidate> choice = router.choose(request, candidates, now);
      if (choice.isEmpty()) {
        return Optional.empty();
      }
      String name = choice.get().name();
      SentRequest sentRequest = router.onSend(name, request, now);
      KnownUpstream u =
          upstreams.stream().filter(k -> k.name().equals(name)).findFirst().orElseThrow();
      return Optional.of(new Attempt(u, sentRequest));
    }
  }

  private final class Attempt implements Selection {

    private final KnownUpstream upstream;
    private final SentRequest sentRequest;

    Attempt(KnownUpstream upstream, SentRequest sentRequest) {
      this.upstream = upstream;
      this.sentRequest = sentRequest;
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
        router.onFirstToken(sentRequest, clock.nowMillis());
      }
    }

    @Override
    public void finished() {
      long now = clock.nowMillis();
      synchronized (UpstreamPool.this) {
        router.onCompletion(sentRequest, now);
        outliers.onSuccess(name(), now);
      }
    }

    @Override
    public void failed() {
      long now = clock.nowMillis();
      synchronized (UpstreamPool.this) {
        router.onCompletion(sentRequest, now);
        outliers.onFailure(name(), now);
      }
    }
  }
}
