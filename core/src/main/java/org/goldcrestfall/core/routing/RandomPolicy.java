package org.goldcrestfall.core.routing;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Baseline policy that picks a random candidate. */
public final class RandomPolicy implements RoutingPolicy {

  @Override
  public Candidate pick(
      RoutingRequest request,
      List<Candidate> eligible,
      ScoreContext context,
      UniformRandomProvider random) {
    return eligible.get(random.nextInt(eligible.size()));
  }
}
