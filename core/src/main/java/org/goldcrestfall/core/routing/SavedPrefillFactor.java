package org.goldcrestfall.core.routing;

/**
 * Prefill time that cached blocks save. A candidate whose utilization exceeds the mean by the
 * factor {@code maxLoadRatio} has no credit (bounded load), so that a popular prefix cannot
 * overload one engine.
 *
 * @param millisPerToken prefill time of a prompt token
 * @param maxLoadRatio bound on utilization as a multiple of the mean
 */
public record SavedPrefillFactor(double millisPerToken, double maxLoadRatio)
    implements ScoreFactor {

  @Override
  public double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context) {
    // One request beyond the bound is allowed; otherwise an idle pool might have no credit at all.
    double bound = context.meanUtilization() * maxLoadRatio + 1.0 / candidate.slots();
    if (request.prefix().isEmpty() || context.utilization(candidate) > bound) {
      return 0;
    }
    double blocks =
        context.prefixes().cachedBlocks(candidate.name(), request.prefix(), context.nowMillis());
    double tokens = Math.min(blocks * PrefixHasher.BLOCK_TOKENS, request.promptTokens());
    return -tokens * millisPerToken;
  }
}
