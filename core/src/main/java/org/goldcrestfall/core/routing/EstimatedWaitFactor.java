package org.goldcrestfall.core.routing;

/**
 * Expected time until a slot is free, from the load that {@link LoadTracker} corrects, plus the
 * prefill time of this router's own requests that await their first token. The number of used slots
 * does not count as long as one is free: with delayed load reports, all routers would then prefer
 * the same engine.
 *
 * @param defaultHoldMillis slot time that is assumed before the first completion
 */
public record EstimatedWaitFactor(double defaultHoldMillis) implements ScoreFactor {

  @Override
  public double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context) {
    double outstanding = context.load().outstanding(candidate, context.nowMillis());
    double holdMillis = context.load().holdMillis(candidate.name(), defaultHoldMillis);
    double excess = Math.max(0, outstanding + 1 - candidate.slots());
    double prefillMillis = context.load().pendingPrefillMillis(candidate.name());
    return excess * holdMillis / candidate.slots() + prefillMillis;
  }
}
