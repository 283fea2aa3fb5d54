package org.goldcrestfall.core.control;

import static java.math.RoundingMode.CEILING;

import com.google.common.math.LongMath;
import java.util.List;
import java.util.Map;

/** The configuration that routers serve from, as of a revision (the index of its last change). */
public record ConfigView(
    long revision,
    Map<String, Workspace> workspaces,
    Map<String, Key> keys,
    Map<String, PatienceClass> classes,
    Map<String, Service> services) {

  /** The configuration before the first change. */
  public static final ConfigView EMPTY = new ConfigView(0, Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps. Keys are indexed by their SHA-256 in hex, the others by name. */
  public ConfigView {
    workspaces = Map.copyOf(workspaces);
    keys = Map.copyOf(keys);
    classes = Map.copyOf(classes);
    services = Map.copyOf(services);
  }

  /** A workspace with its limits; 0 is no limit. */
  public record Workspace(
      String name,
      String defaultClass,
      Tradeoff tradeoff,
      long requestsPerSecond,
      long concurrentRequests) {}

  /** An API key. */
  public record Key(String sha256, String keyId, String workspace, boolean revoked) {}

  /** A patience class; units as in {@link Intent.SetPatienceClass}. */
  public record PatienceClass(
      String name,
      long pricePerMille,
      long deadlineMillis,
      int priority,
      int reservedSharePerMille) {

    /** Returns the price of {@code tokens} in budget tokens, rounded up. */
    public long price(long tokens) {
      return LongMath.divide(Math.multiplyExact(tokens, pricePerMille), 1000L, CEILING);
    }
  }

  /** A plain service. */
  public record Service(String name, long priceTokens, List<String> idempotentMethods) {}
}
