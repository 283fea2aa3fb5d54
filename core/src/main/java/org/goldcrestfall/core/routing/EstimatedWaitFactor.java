package org.goldcrestfall.core.routing;

/**
 * Expected time until a slot is free, plus the slowdown by the requests that share the batch, from
 * the corrected load.
 *
 * @param defaultHoldMillis slot time that is assumed before the first completion
 * @param contentionMillis delay of the first token by a full batch
 */
public record EstimatedWaitFactor(double defaultHoldMillis, double contentionMillis)
    implements ScoreFactor {

  @Override
  public double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context) {
    double outstanding = context.load().outstanding(candidate, context.nowMillis());
    double hold = context.load().holdMillis(candidate.name(), defaultHoldMillis);
    double ahead = Math.max(0, outstanding + 1 - candidate.slots());
    return (ahead * hold + outstanding * contentionMillis) / candidate.slots();
  }
}
