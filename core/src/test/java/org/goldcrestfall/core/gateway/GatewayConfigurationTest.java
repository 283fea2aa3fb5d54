package org.goldcrestfall.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import net.jqwik.api.Example;

/** Guards against invalid configurations that are accepted, and against wrong route lookups. */
final class GatewayConfigurationTest {

  private static final Map<String, ServiceSettings> SERVICES =
      Map.of(
          "a", new ServiceSettings("a", 10, Optional.empty(), Optional.empty()),
          "b", new ServiceSettings("b", 10, Optional.empty(), Optional.empty()));

  private static final List<WorkspaceSettings> NO_WORKSPACES = List.of();

  private static Route route(String host, String prefix, int timeout, WeightedService... split) {
    return new Route(
        host + prefix,
        host,
        prefix,
        RouteKind.SAFE,
        timeout,
        timeout,
        0,
        ImmutableList.copyOf(split),
        1,
        false,
        false,
        false,
        0);
  }

  private static Route route(String host, String prefix) {
    return route(host, prefix, 1_000, new WeightedService("a", 1));
  }

  private static GatewayConfiguration of(List<Route> routes, List<WorkspaceSettings> workspaces)
      throws InvalidConfigurationException {
    return new GatewayConfiguration(
        1, routes, SERVICES, ClientLimits.DEFAULT, Optional.of(workspaces));
  }

  private static WorkspaceSettings workspace(String name, String... keys) {
    return new WorkspaceSettings(
        name, ImmutableList.copyOf(keys), OptionalInt.empty(), OptionalLong.empty());
  }

  /** Guards against routes that are open to all after the last workspace was taken away. */
  @Example
  void emptyListOfWorkspacesAdmitsNobodyAndNoListAdmitsAll() throws Exception {
    Route route = route("h", "/");
    Optional<String> known = Optional.of("k");
    Optional<String> unknown = Optional.of("other");
    GatewayConfiguration one = of(List.of(route), List.of(workspace("w", "k")));
    assertThat(one.authenticate(route, known).orElseThrow().workspace()).isPresent();
    assertThat(one.authenticate(route, known).orElseThrow().keyIsSecret()).isTrue();
    assertThat(one.authenticate(route, unknown)).isEmpty();
    for (List<WorkspaceSettings> none : List.of(List.of(workspace("w")), NO_WORKSPACES)) {
      GatewayConfiguration c = of(List.of(route), none);
      assertThat(c.authenticate(route, known)).isEmpty();
      assertThat(c.authenticate(route, Optional.empty())).isEmpty();
    }
    GatewayConfiguration open =
        new GatewayConfiguration(
            1, List.of(route), SERVICES, ClientLimits.DEFAULT, Optional.empty());
    CallerAccess access = open.authenticate(route, unknown).orElseThrow();
    assertThat(access).isEqualTo(new CallerAccess(Optional.empty(), false));
  }

  @Example
  void longestPrefixOfTheHostWins() throws Exception {
    GatewayConfiguration c =
        of(List.of(route("h", "/"), route("h", "/x/y/"), route("h", "/x/")), List.of());
    assertThat(c.findRoute("h", "/x/y/z").orElseThrow().pathPrefix()).isEqualTo("/x/y/");
    assertThat(c.findRoute("h", "/x/z").orElseThrow().pathPrefix()).isEqualTo("/x/");
    assertThat(c.findRoute("h", "/q").orElseThrow().pathPrefix()).isEqualTo("/");
    assertThat(c.findRoute("other", "/x/")).isEmpty();
  }

  @Example
  void unknownServiceIsInvalid() {
    assertThatThrownBy(
            () -> of(List.of(route("h", "/", 1, new WeightedService("zz", 1))), List.of()))
        .isInstanceOf(InvalidConfigurationException.class)
        .hasMessageContaining("zz");
  }

  @Example
  void twoRoutesWithSameHostAndPrefixAreInvalid() {
    assertThatThrownBy(() -> of(List.of(route("h", "/x/"), route("h", "/x/")), List.of()))
        .isInstanceOf(InvalidConfigurationException.class);
  }

  @Example
  void weightsThatAddUpToZeroAreInvalid() {
    assertThatThrownBy(
            () -> of(List.of(route("h", "/", 1, new WeightedService("a", 0))), List.of()))
        .isInstanceOf(InvalidConfigurationException.class);
  }

  @Example
  void routeWithoutTimeoutIsInvalid() {
    assertThatThrownBy(
            () -> of(List.of(route("h", "/", 0, new WeightedService("a", 1))), List.of()))
        .isInstanceOf(InvalidConfigurationException.class);
  }

  @Example
  void keySharedByTwoWorkspacesIsInvalid() {
    assertThatThrownBy(() -> of(List.of(), List.of(workspace("v", "k"), workspace("w", "k"))))
        .isInstanceOf(InvalidConfigurationException.class);
  }

  @Example
  void splitFollowsTheWeights() {
    Route r = route("h", "/", 1, new WeightedService("a", 9), new WeightedService("b", 1));
    long first = 0;
    for (int number = 0; number < 100; number++) {
      first += r.serviceFor(number).equals("a") ? 1 : 0;
    }
    assertThat(first).isEqualTo(90);
  }
}
