package org.goldcrestfall.core.routing;

/**
 * Expected time until a slot is free, from the corrected load, plus the prefill of this router's
 * own requests that await their first token. A partly filled engine has no extra cost: late reports
 * would then make all routers prefer the same engine.
 *
 * @param defaultHoldMillis slot time that is assumed before the first completion
 */
public record EstimatedWaitFactor(double defaultHoldMillis) implements ScoreFactor {

  @Override
  public double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context) {
    double outstanding = context.load().outstanding(candidate, context.nowMillis());
    double hold = context.load().holdMillis(candidate.name(), defaultHoldMillis);
    double ahead = Math.max(0, outstanding + 1 - candidate.slots());
    double pending = context.load().pendingPrefillMillis(candidate.name());
    return ahead * hold / candidate.slots() + pending;
  }
}
