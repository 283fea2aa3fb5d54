package org.goldcrestfall.core.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against orders that are lost, applied twice or undone by repeats and configurations. */
final class EvacuatedZonesTest {

  private static SiteCommand order(String zone, boolean evacuated) {
    return new SiteCommand.SetEvacuation(zone, evacuated);
  }

  @Provide
  Arbitrary<List<SiteCommand>> commands() {
    Arbitrary<SiteCommand> orders =
        Combinators.combine(Arbitraries.of("a", "b", "c"), Arbitraries.of(true, false))
            .as(EvacuatedZonesTest::order);
    Arbitrary<SiteCommand> configurations =
        Arbitraries.longs()
            .between(1, 20)
            .map(v -> new SiteCommand.PutConfiguration(v, new byte[0], ImmutableMap.of()));
    return Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(4, orders), net.jqwik.api.Tuple.of(1, configurations))
        .list()
        .ofMaxSize(40);
  }

  /** The last order for a zone decides, whatever was repeated, and a snapshot keeps the result. */
  @Property(tries = 300, seed = "4201")
  void lastOrderForEachZoneCounts(
      @ForAll("commands") List<SiteCommand> commands, @ForAll int snapshotAt) {
    SiteState state = new SiteState();
    Set<String> expected = new HashSet<>();
    for (int i = 0; i < commands.size(); i++) {
      SiteCommand command = commands.get(i);
      EvacuatedZones before = state.evacuatedZones();
      state.apply(i + 1, command);
      if (command instanceof SiteCommand.SetEvacuation c
          && (c.evacuated() ? expected.add(c.zone()) : expected.remove(c.zone()))) {
        assertThat(state.evacuatedZones().index()).isEqualTo(i + 1);
      } else {
        assertThat(state.evacuatedZones()).isSameAs(before);
      }
      if (Math.floorMod(snapshotAt, commands.size()) == i) {
        SiteState restored = new SiteState();
        restored.restore(
            state.configuration(),
            state.allotments(),
            state.quarantineSnapshot(),
            state.evacuatedZones(),
            state.routerNumbers());
        state = restored;
      }
    }
    assertThat(state.evacuatedZones().zones()).isEqualTo(expected);
  }

  @Example
  void repeatedOrderKeepsTheIndexSoThatRoutersGetNothingAgain() {
    SiteState state = new SiteState();
    state.apply(5, order("a", true));
    state.apply(6, order("a", true));
    state.apply(7, order("b", false));
    assertThat(state.evacuatedZones().index()).isEqualTo(5);
  }
}
