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
 * Checks that a budget is never exceeded and that no request is charged and no booking run twice
 * (properties P1, P2, P4 and P5), under random interleavings of delayed, duplicated, reordered and
 * lost messages, partitions, top-ups, transfers, and routers that crash, freeze and restart.
 */
final class EscrowPropertyTest {

  @Property(tries = 400, seed = "20261204")
  void budgetIsNeverExceededAndNothingIsChargedOrBookedTwice(@ForAll("steps") List<Integer> steps) {
    EscrowSimulation simulation = new EscrowSimulation();
    steps.forEach(simulation::step);
    Statistics.label("per mille of the budget delivered")
        .collect(simulation.deliveredPerMille() / 100 * 100);
    Statistics.label("bookings run").collect(simulation.bookingsRun());
    Statistics.label("transfers received").collect(simulation.transfersReceived() / 5 * 5);
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
