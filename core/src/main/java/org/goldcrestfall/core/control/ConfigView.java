package org.goldcrestfall.core.control;

import static com.google.common.base.Preconditions.checkArgument;
import static java.math.RoundingMode.CEILING;

import com.google.common.math.LongMath;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The configuration that routers use, as of a revision. The revision is the log index of the last
 * change. API keys are indexed by their SHA-256 in hex, all other objects by name.
 */
public record ConfigView(
    long revision,
    Map<String, Workspace> workspaces,
    Map<String, Key> keys,
    Map<String, PatienceClass> classes,
    Map<String, Service> services) {

  /** The configuration before the first change, with only the built-in patience classes. */
  public static final ConfigView EMPTY =
      new ConfigView(0, Map.of(), Map.of(), PatienceClass.BUILT_IN, Map.of());

  /** Copies the maps. */
  public ConfigView {
    workspaces = Map.copyOf(workspaces);
    keys = Map.copyOf(keys);
    classes = Map.copyOf(classes);
    services = Map.copyOf(services);
  }

  /**
   * Returns the view after {@code change}. A change that the view already contains is ignored.
   *
   * @throws IllegalArgumentException if changes between this view and {@code change} are missing
   */
  public ConfigView apply(ConfigChange change) {
    if (change.revision() <= revision) {
      return this;
    }
    checkArgument(
        change.previousRevision() <= revision,
        "the changes from revision %s to %s are missing",
        revision,
        change.previousRevision());
    return new ConfigView(
        change.revision(),
        with(workspaces, change.workspace(), Workspace::name),
        with(keys, change.key(), Key::sha256),
        with(classes, change.patienceClass(), PatienceClass::name),
        with(services, change.service(), Service::name));
  }

  /** Returns a copy of the map with the value under its key, or the map itself for a null value. */
  private static <T> Map<String, T> with(Map<String, T> map, T value, Function<T, String> key) {
    if (value == null) {
      return map;
    }
    Map<String, T> result = new HashMap<>(map);
    result.put(key.apply(value), value);
    return result;
  }

  /** A workspace with its limits, where 0 means no limit. */
  public record Workspace(
      String name,
      String defaultClass,
      Tradeoff tradeoff,
      long requestsPerSecond,
      long concurrentRequests) {}

  /** An API key with its limits, where 0 means no limit. */
  public record Key(
      String sha256,
      String keyId,
      String workspace,
      boolean revoked,
      long requestsPerSecond,
      long concurrentRequests) {}

  /** A patience class, with the units of {@link Intent.SetPatienceClass}. */
  public record PatienceClass(
      String name,
      long pricePerMille,
      long deadlineMillis,
      int priority,
      int reservedSharePerMille) {

    /** The patience classes that always exist; operators may redefine them. */
    public static final Map<String, PatienceClass> BUILT_IN =
        Map.of(
            "quick", new PatienceClass("quick", 1000, 2_000, 2, 300),
            "standard", new PatienceClass("standard", 600, 15_000, 1, 200),
            "patient", new PatienceClass("patient", 300, 120_000, 0, 100));

    /** Returns the price of {@code tokens} in budget tokens, rounded up. */
    public long price(long tokens) {
      return LongMath.divide(Math.multiplyExact(tokens, pricePerMille), 1000L, CEILING);
    }
  }

  /** A plain service; see {@link Intent.DefineService}. */
  public record Service(String name, long priceTokens, List<String> idempotentMethods) {

    /** Copies the list. */
    public Service {
      idempotentMethods = List.copyOf(idempotentMethods);
    }
  }
}
