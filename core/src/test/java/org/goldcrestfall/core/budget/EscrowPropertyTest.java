package org.goldcrestfall.core.budget;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.statistics.Statistics;

/**
 * Guards P1, P2, P4 and P5 against any interleaving of delayed, repeated, reordered and lost
 * messages, partitions, top-ups, transfers, and routers that die, freeze and come back.
 */
final class EscrowPropertyTest {

  @Property(tries = 400, seed = "20261204")
  void budgetIsNeverExceededAndNothingIsChargedOrBookedTwice(@ForAll("steps") List<Integer> steps) {
    EscrowSimulation world = new EscrowSimulation();
    steps.forEach(world::step);
    Statistics.label("per mille of the budget delivered")
        .collect(world.deliveredPerMille() / 100 * 100);
    Statistics.label("bookings run").collect(world.bookingsRun());
    Statistics.label("transfers received").collect(world.transfersReceived() / 5 * 5);
  }

  @Provide
  Arbitrary<List<Integer>> steps() {
    return Arbitraries.integers()
        .between(0, 1 << 26)
        .withDistribution(RandomDistribution.uniform())
        .withoutEdgeCases()
        .list()
        .ofMinSize(400)
        .ofMaxSize(900);
  }
}
