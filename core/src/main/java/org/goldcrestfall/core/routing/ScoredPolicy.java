package org.goldcrestfall.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Compares the scores of a few random candidates and of the candidate with the most cached blocks.
 * Comparing all candidates would make routers with the same delayed load reports choose the same
 * one.
 */
public final class ScoredPolicy implements RoutingPolicy {

  private final List<ScoreFactor> factors;
  private final int choices;

  /** Creates a policy that compares {@code choices} random candidates by the sum of the factors. */
  public ScoredPolicy(List<ScoreFactor> factors, int choices) {
    this.factors = List.copyOf(factors);
    this.choices = choices;
  }

  /** Returns the score of a candidate in milliseconds; the lowest is best. */
  public double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context) {
    double sum = 0;
    for (ScoreFactor f : factors) {
      sum += f.scoreMillis(request, candidate, context);
    }
    return sum;
  }

  @Override
  public Candidate pick(
      RoutingRequest request,
      List<Candidate> eligible,
      ScoreContext context,
      UniformRandomProvider random) {
    List<Candidate> remaining = new ArrayList<>(eligible);
    Candidate best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (int i = 0; i < choices && !remaining.isEmpty(); i++) {
      Candidate c = remaining.remove(random.nextInt(remaining.size()));
      double score = scoreMillis(request, c, context);
      if (score < bestScore) {
        best = c;
        bestScore = score;
      }
    }
    Candidate cached = AffinityPolicy.mostCached(request, remaining, context);
    if (cached != null && scoreMillis(request, cached, context) < bestScore) {
      return cached;
    }
    return best;
  }
}
