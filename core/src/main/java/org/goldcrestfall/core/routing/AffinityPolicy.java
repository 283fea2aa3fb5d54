package org.goldcrestfall.core.routing;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Baseline policy that picks the candidate with the most cached blocks, or a random one if no block
 * is cached.
 */
public final class AffinityPolicy implements RoutingPolicy {

  @Override
  public Candidate pick(
      RoutingRequest request,
      List<Candidate> eligible,
      ScoreContext context,
      UniformRandomProvider random) {
    Candidate cached = mostCached(request, eligible, context);
    return cached != null ? cached : eligible.get(random.nextInt(eligible.size()));
  }

  /** Returns the candidate with the most cached blocks, or null if no block is cached. */
  static Candidate mostCached(
      RoutingRequest request, List<Candidate> candidates, ScoreContext context) {
    Candidate best = null;
    double most = 0;
    for (Candidate c : candidates) {
      double blocks =
          context.prefixes().cachedBlocks(c.name(), request.prefix(), context.nowMillis());
      if (blocks > most) {
        best = c;
        most = blocks;
      }
    }
    return best;
  }
}
