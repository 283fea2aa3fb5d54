package org.goldcrestfall.core.routing;

/** Time to load a model or adapter that the candidate has not loaded. */
public record ModelLoadFactor(double loadMillis) implements ScoreFactor {

  @Override
  public double scoreMillis(RoutingRequest request, Candidate candidate, ScoreContext context) {
    boolean loaded = request.model().isEmpty() || candidate.models().contains(request.model());
    return loaded ? 0 : loadMillis;
  }
}
