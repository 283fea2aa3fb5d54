package org.goldcrestfall.core.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A complete and valid configuration of the gateway, indexed for lookups. Immutable. */
public final class GatewayConfiguration {

  private final long version;
  private final ImmutableList<Route> routes;
  private final ImmutableMap<String, ServiceSettings> services;
  private final ClientLimits limits;
  private final boolean requiresKeys;
  private final ImmutableList<WorkspaceSettings> workspaces;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, WorkspaceSettings> workspacesByKey = new HashMap<>();

  /**
   * Validates and indexes a configuration.
   *
   * @param workspaces the workspaces whose keys are valid; if empty, requests need no key. An empty
   *     list differs from that: requests then need a key, and no key is valid
   * @throws InvalidConfigurationException if a route names an unknown service, has a negative
   *     weight, only weights of 0, no positive timeout, or a path prefix that does not begin and
   *     end with a slash, if two routes have the same host and path prefix, or if two workspaces
   *     share a key
   */
  public GatewayConfiguration(
      long version,
      List<Route> routes,
      Map<String, ServiceSettings> services,
      ClientLimits limits,
      Optional<List<WorkspaceSettings>> workspaces)
      throws InvalidConfigurationException {
    this.version = version;
    this.routes = ImmutableList.copyOf(routes);
    this.services = ImmutableMap.copyOf(services);
    this.limits = limits;
    requiresKeys = workspaces.isPresent();
    this.workspaces = ImmutableList.copyOf(workspaces.orElse(List.of()));
    indexRoutes();
    indexKeys();
  }

  private void indexRoutes() throws InvalidConfigurationException {
    Set<String> hostsWithPrefix = new HashSet<>();
    for (Route r : routes) {
      checkRoute(r);
      if (!hostsWithPrefix.add(r.host() + r.pathPrefix())) {
        throw new InvalidConfigurationException(
            "Two routes share the host and prefix " + r.host() + r.pathPrefix() + ".");
      }
      routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
    }
    for (List<Route> sameHost : routesByHost.values()) {
      sameHost.sort(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed());
    }
  }

  private void checkRoute(Route r) throws InvalidConfigurationException {
    if (r.timeoutMillis() <= 0) {
      throw new InvalidConfigurationException("Route " + r.name() + " has no timeout.");
    }
    if (!r.pathPrefix().startsWith("/") || !r.pathPrefix().endsWith("/")) {
      throw new InvalidConfigurationException(
          "The prefix of route " + r.name() + " does not begin and end with a slash.");
    }
    long totalWeight = 0;
    for (WeightedService s : r.split()) {
      if (!services.containsKey(s.service())) {
        throw new InvalidConfigurationException(
            "Route " + r.name() + " names the unknown service " + s.service() + ".");
      }
      if (s.weight() < 0) {
        throw new InvalidConfigurationException("Route " + r.name() + " has a negative weight.");
      }
      totalWeight += s.weight();
    }
    if (totalWeight == 0) {
      throw new InvalidConfigurationException("The weights of route " + r.name() + " add up to 0.");
    }
  }

  private void indexKeys() throws InvalidConfigurationException {
    for (WorkspaceSettings w : workspaces) {
      for (String key : w.keys()) {
        WorkspaceSettings other = workspacesByKey.put(key, w);
        if (other != null && !other.name().equals(w.name())) {
          throw new InvalidConfigurationException(
              "The workspaces " + other.name() + " and " + w.name() + " share a key.");
        }
      }
    }
  }

  /** Returns the version that the operator gave this configuration. */
  public long version() {
    return version;
  }

  /** Returns the limits for callers. */
  public ClientLimits limits() {
    return limits;
  }

  /** Returns all routes. */
  public ImmutableList<Route> routes() {
    return routes;
  }

  /** Returns the services by name. */
  public ImmutableMap<String, ServiceSettings> services() {
    return services;
  }

  /** Returns whether requests need a key, except on public routes. */
  public boolean requiresKeys() {
    return requiresKeys;
  }

  /** Returns all workspaces. */
  public ImmutableList<WorkspaceSettings> workspaces() {
    return workspaces;
  }

  /**
   * Returns the route of a host whose path prefix is the longest that {@code path} begins with.
   * {@code path} must not contain the query.
   */
  public Optional<Route> findRoute(String host, String path) {
    for (Route r : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(r.pathPrefix())) {
        return Optional.of(r);
      }
    }
    return Optional.empty();
  }

  /**
   * Decides whether a caller may use a route.
   *
   * @param key the key that the request carries, if any
   * @return the caller's access, or nothing if the request needs a key that a workspace holds
   */
  public Optional<CallerAccess> authenticate(Route route, Optional<String> key) {
    Optional<WorkspaceSettings> workspace = key.flatMap(this::findWorkspace);
    return !requiresKeys || workspace.isPresent() || route.isPublic()
        ? Optional.of(new CallerAccess(workspace, requiresKeys))
        : Optional.empty();
  }

  /** Returns the workspace that an API key belongs to. */
  public Optional<WorkspaceSettings> findWorkspace(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
