package org.goldcrestfall.core.routing;

/** One summand of a candidate's score, in milliseconds of expected time to first token. */
@FunctionalInterface
public interface ScoreFactor {

  /** Returns the expected milliseconds that this factor adds; negative if it saves time. */
  double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context);
}
