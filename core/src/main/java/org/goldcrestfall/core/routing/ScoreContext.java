package org.goldcrestfall.core.routing;

import java.util.List;

/**
 * The state that score factors read.
 *
 * @param zone availability zone of this router
 * @param load tracker of the load of candidates, corrected by this router's own requests
 * @param prefixes estimated contents of the prefix caches
 * @param meanUtilization outstanding requests of all candidates divided by their slots
 * @param nowMillis current time
 */
public record ScoreContext(
    String zone, LoadTracker load, PrefixIndex prefixes, double meanUtilization, long nowMillis) {

  /** Creates the context of a choice among {@code candidates}. */
  public static ScoreContext of(
      String zone,
      LoadTracker load,
      PrefixIndex prefixes,
      List<Candidate> candidates,
      long nowMillis) {
    double outstanding = 0;
    double slots = 0;
    for (Candidate c : candidates) {
      outstanding += load.outstanding(c, nowMillis);
      slots += c.slots();
    }
    double mean = slots == 0 ? 0 : outstanding / slots;
    return new ScoreContext(zone, load, prefixes, mean, nowMillis);
  }

  /** Returns the estimated number of outstanding requests per slot at a candidate. */
  public double utilization(Candidate candidate) {
    return load.outstanding(candidate, nowMillis) / candidate.slots();
  }
}
