package org.goldcrestfall.core.routing;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.common.RendezvousHash;

/**
 * Selects the upstream of a request: filters the eligible upstreams, reduces them to a stable
 * subset by rendezvous hashing, and applies a {@link RoutingPolicy}. Sends, completions and cache
 * events update the state that the policy reads. Not thread-safe.
 */
public final class Router {

  private final String host;
  private final String zone;
  private final RouterSettings settings;
  private final RoutingPolicy policy;
  private final UniformRandomProvider random;
  private final LoadTracker load = new LoadTracker();
  private final PrefixIndex prefixes;

  /** Creates a router that uses all score factors. */
  public Router(String host, String zone, RouterSettings settings, long seed) {
    this(host, zone, settings, settings.policy(EnumSet.allOf(RouterSettings.Factor.class)), seed);
  }

  /**
   * Creates a router.
   *
   * @param host name of this host, which selects the stable subset
   * @param zone availability zone of this host
   * @param policy policy that selects a candidate of the subset
   * @param seed seed of the random number generator
   */
  public Router(
      String host, String zone, RouterSettings settings, RoutingPolicy policy, long seed) {
    this.host = host;
    this.zone = zone;
    this.settings = settings;
    this.policy = policy;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    prefixes = new PrefixIndex(settings.maxBlocksPerEngine(), settings.cacheHalfLifeMillis());
  }

  /**
   * Returns the upstream to send a request to, or empty if no candidate is eligible. A candidate
   * that is leaving, is excluded or does not serve the model is never returned.
   */
  public Optional<Candidate> choose(
      RoutingRequest request, List<Candidate> candidates, long nowMillis) {
    List<Candidate> eligible =
        candidates.stream()
            .filter(c -> !c.leaving())
            .filter(c -> !request.excluded().contains(c.name()))
            .filter(c -> c.serves(request.model()))
            .toList();
    if (eligible.isEmpty()) {
      return Optional.empty();
    }
    List<Candidate> subset =
        RendezvousHash.subset(host, eligible, Candidate::name, settings.subsetSize());
    ScoreContext context = ScoreContext.of(zone, load, prefixes, subset, nowMillis);
    return Optional.of(policy.pick(request, subset, context, random));
  }

  /** Records that a request was sent to {@code upstream}. */
  public SentRequest onSend(String upstream, RoutingRequest request, long nowMillis) {
    double cached =
        prefixes.cachedBlocks(upstream, request.prefix(), nowMillis) * PrefixHasher.BLOCK_TOKENS;
    double tokens = Math.max(0, request.promptTokens() - cached);
    prefixes.onSend(upstream, request.prefix(), nowMillis);
    return load.onSend(upstream, tokens * settings.prefillMillisPerToken(), nowMillis);
  }

  /** Records the first token, or for a plain service the first byte, of the answer. */
  public void onFirstToken(SentRequest sentRequest, long nowMillis) {
    load.onFirstToken(sentRequest, nowMillis);
  }

  /** Records the end of a request, for any reason. */
  public void onCompletion(SentRequest sentRequest, long nowMillis) {
    load.onCompletion(sentRequest, nowMillis);
  }

  /** Applies a cache event of an engine. */
  public void onCacheEvent(String engine, CacheEvent event, long nowMillis) {
    prefixes.onEvent(engine, event, nowMillis);
  }

  /** Removes the state of an upstream that expired or restarted. */
  public void remove(String upstream) {
    prefixes.remove(upstream);
    load.remove(upstream);
  }

  /** Returns the tracker of the corrected load, which admission control reads, too. */
  public LoadTracker load() {
    return load;
  }
}
