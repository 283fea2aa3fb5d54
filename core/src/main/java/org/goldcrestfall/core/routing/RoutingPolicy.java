package org.goldcrestfall.core.routing;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Selects one of several eligible candidates. */
@FunctionalInterface
public interface RoutingPolicy {

  /** Returns one of the candidates in {@code eligible}, which is never empty. */
  Candidate pick(
      RoutingRequest request,
      List<Candidate> eligible,
      ScoreContext context,
      UniformRandomProvider random);
}
