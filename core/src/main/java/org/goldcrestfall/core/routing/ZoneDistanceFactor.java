package org.goldcrestfall.core.routing;

/** Round-trip time to another availability zone. */
public record ZoneDistanceFactor(double otherZoneMillis) implements ScoreFactor {

  @Override
  public double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context) {
    return candidate.zone().equals(context.zone()) ? 0 : otherZoneMillis;
  }
}
