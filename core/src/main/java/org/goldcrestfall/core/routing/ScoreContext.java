package org.goldcrestfall.core.routing;

import java.util.List;

/**
 * The knowledge that score factors read.
 *
 * @param zone availability zone of this router
 * @param load corrected load
 * @param prefixes cache contents
 * @param meanUtilization mean of outstanding requests per slot over the candidates
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

  /** Returns the estimated requests at a candidate per slot. */
  public double utilization(Candidate candidate) {
    return load.outstanding(candidate, nowMillis) / candidate.slots();
  }
}
