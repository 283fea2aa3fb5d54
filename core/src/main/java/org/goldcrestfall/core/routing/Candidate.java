package org.goldcrestfall.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Set;

/**
 * An upstream as the router knows it at the time of a routing decision.
 *
 * @param name unique name of the upstream
 * @param zone availability zone
 * @param models models and adapters that are loaded; empty for a plain service
 * @param loadable models and adapters that the upstream can load on demand
 * @param running reported number of requests that hold a slot
 * @param waiting reported number of requests that wait for a slot
 * @param slots number of requests that can run at the same time, at least 1
 * @param loadAgeMillis time since the reported load was measured
 * @param leaving whether the upstream accepts no new requests
 */
public record Candidate(
    String name,
    String zone,
    Set<String> models,
    Set<String> loadable,
    int running,
    int waiting,
    int slots,
    long loadAgeMillis,
    boolean leaving) {

  /** Checks the arguments and copies the sets. */
  public Candidate {
    checkArgument(!name.isEmpty(), "name must not be empty");
    checkArgument(running >= 0, "running must not be negative: %s", running);
    checkArgument(waiting >= 0, "waiting must not be negative: %s", waiting);
    checkArgument(slots > 0, "slots must be positive: %s", slots);
    checkArgument(loadAgeMillis >= 0, "loadAgeMillis must not be negative: %s", loadAgeMillis);
    models = Set.copyOf(models);
    loadable = Set.copyOf(loadable);
  }

  /**
   * Returns whether the upstream has loaded a model or can load it. An empty name stands for any
   * model.
   */
  public boolean serves(String model) {
    return model.isEmpty() || models.contains(model) || loadable.contains(model);
  }
}
