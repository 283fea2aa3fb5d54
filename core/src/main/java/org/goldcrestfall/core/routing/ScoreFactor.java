package org.goldcrestfall.core.routing;

/** One term of a candidate's score, in milliseconds of expected time to the first token. */
@FunctionalInterface
public interface ScoreFactor {

  /** Returns the expected milliseconds that this factor adds; negative if it saves time. */
  double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context);
}
