package org.goldcrestfall.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Settings of the routing decision.
 *
 * @param subsetSize number of upstreams that one router uses
 * @param choices number of random candidates that are compared
 * @param defaultHoldMillis slot time that is assumed before the first completion
 * @param prefillMillisPerToken prefill time of a prompt token
 * @param maxLoadRatio bound on the utilization, as a multiple of the mean, up to which cached
 *     blocks improve the score
 * @param otherZoneMillis round-trip time to another availability zone
 * @param modelLoadMillis time to load a model
 * @param maxBlocksPerEngine bound on the tracked cache entries of one engine
 * @param cacheHalfLifeMillis time after which an unconfirmed cache entry has half its confidence
 */
public record RouterSettings(
    int subsetSize,
    int choices,
    double defaultHoldMillis,
    double prefillMillisPerToken,
    double maxLoadRatio,
    double otherZoneMillis,
    double modelLoadMillis,
    int maxBlocksPerEngine,
    long cacheHalfLifeMillis) {

  /** The factors of the score, each of which can be disabled. */
  public enum Factor {
    ESTIMATED_WAIT,
    SAVED_PREFILL,
    ZONE_DISTANCE,
    MODEL_LOAD
  }

  /** Settings for engines that prefill about 5,000 prompt tokens a second. */
  public static final RouterSettings DEFAULTS =
      new RouterSettings(20, 2, 2_000, 0.2, 1.5, 1, 20_000, 8_192, 300_000);

  /** Checks the arguments. */
  public RouterSettings {
    checkArgument(subsetSize > 0, "subsetSize must be positive: %s", subsetSize);
    checkArgument(choices > 0, "choices must be positive: %s", choices);
  }

  /** Returns a policy that scores candidates by the given factors. */
  public RoutingPolicy policy(Set<Factor> factors) {
    List<ScoreFactor> list = new ArrayList<>();
    for (Factor f : Factor.values()) {
      if (factors.contains(f)) {
        list.add(
            switch (f) {
              case ESTIMATED_WAIT -> new EstimatedWaitFactor(defaultHoldMillis);
              case SAVED_PREFILL -> new SavedPrefillFactor(prefillMillisPerToken, maxLoadRatio);
              case ZONE_DISTANCE -> new ZoneDistanceFactor(otherZoneMillis);
              case MODEL_LOAD -> new ModelLoadFactor(modelLoadMillis);
            });
      }
    }
    return new ScoredPolicy(list, choices);
  }
}
