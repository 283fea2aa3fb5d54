package org.goldcrestfall.core.routing;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks one of several eligible candidates. */
@FunctionalInterface
public interface RoutingPolicy {

  /** Picks from a list that is not empty and holds only candidates that may be used. */
  Candidate pick(
      RoutingRequest request,
      List<Candidate> eligible,
      ScoreContext context,
      UniformRandomProvider random);
}
