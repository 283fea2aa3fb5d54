package org.goldcrestfall.core.routing;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Baseline policy that picks the candidate with the least reported load per slot, without a
 * correction for this router's own sends.
 */
public final class LeastLoadPolicy implements RoutingPolicy {

  @Override
  public Candidate pick(
      RoutingRequest request,
      List<Candidate> eligible,
      ScoreContext context,
      UniformRandomProvider random) {
    // The scan starts at a random index, so that ties are spread over the candidates.
    int start = random.nextInt(eligible.size());
    Candidate best = eligible.get(start);
    for (int i = 1; i < eligible.size(); i++) {
      Candidate c = eligible.get((start + i) % eligible.size());
      if (load(c) < load(best)) {
        best = c;
      }
    }
    return best;
  }

  private static double load(Candidate candidate) {
    return (double) (candidate.running() + candidate.waiting()) / candidate.slots();
  }
}
