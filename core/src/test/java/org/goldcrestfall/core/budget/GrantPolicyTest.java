package org.goldcrestfall.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.control.ControlCommand.SettleRequests;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Tradeoff;

/**
 * Checks how many tokens routers hold, and that one refused billing record does not block the
 * settlement of the others.
 */
final class GrantPolicyTest {

  @Example
  void heldTokensFollowUseAndReserveShareAndAreReturnedOnRecall() {
    GrantPolicy p = new GrantPolicy();
    for (long now = 0; now < 300_000; now += 100) {
      p.recordDemand("hulls", 500, now);
      p.recordUse("hulls", 100, now);
    }
    long now = 300_000;
    // The demand is 1 token of use and 5 tokens of reservation per millisecond.
    assertThat(p.target("hulls", Tradeoff.STRICT, now)).isBetween(58_000L, 62_000L);
    assertThat(p.target("hulls", Tradeoff.AVAILABLE, now)).isBetween(920_000L, 980_000L);
    p.setReserveShare(0);
    assertThat(p.target("hulls", Tradeoff.AVAILABLE, now)).isBetween(78_000L, 82_000L);
    assertThat(p.grantRequest("hulls", Tradeoff.STRICT, 60_000, 0, now)).isEmpty();
    assertThat(p.grantRequest("hulls", Tradeoff.STRICT, 50_000, 0, now).orElseThrow().needed())
        .isZero();
    assertThat(p.grantRequest("hulls", Tradeoff.STRICT, 60_000, 7, now).orElseThrow().needed())
        .isEqualTo(7);
    assertThat(p.surplus("hulls", Tradeoff.STRICT, 100_000, false, now)).isZero();
    assertThat(p.surplus("hulls", Tradeoff.STRICT, 100_000, true, now)).isBetween(94_000L, 96_000L);
    assertThat(p.transferableTokens("hulls", 100_000, 10_000, now)).isEqualTo(10_000);
    assertThat(p.transferableTokens("hulls", 4_000, 10_000, now)).isZero();
  }

  @Example
  void routersWithDiskShareTheReserveOfTheirZone() {
    List<ReserveShare.Router> routers =
        List.of(
            new ReserveShare.Router("a1", "a", true),
            new ReserveShare.Router("a2", "a", false),
            new ReserveShare.Router("a3", "a", false),
            new ReserveShare.Router("b1", "b", false));
    assertThat(ReserveShare.of("a1", routers)).isEqualTo(3);
    assertThat(ReserveShare.of("a2", routers)).isZero();
    assertThat(ReserveShare.of("b1", routers)).isEqualTo(1);
    assertThat(ReserveShare.of("c1", routers)).isEqualTo(1);
  }

  @Example
  void refusedRecordIsIsolatedAndTheOthersAreSettledUnderNewBatchNumbers() {
    AllotmentLedger ledger = new AllotmentLedger(new Incarnation("a1", 1));
    ledger.requestGrant("hulls", 1_000, 0);
    ledger.grantReceived("hulls", 1, 1_000);
    SettlementQueue queue = new SettlementQueue(ledger);
    for (int i = 0; i < 8; i++) {
      ledger.reserve("hulls", 10);
      ledger.recordUse("hulls", 10, 10);
      queue.add(new BillingRecord("hulls", "r" + i, "h", "m", "quick", 0, 0, 10, 0), 0);
    }
    List<String> outcomes = new ArrayList<>();
    long now = 0;
    while (queue.size() > 0) {
      now += SettlementQueue.BATCH_INTERVAL_MILLIS;
      SettleRequests batch = queue.nextBatch(now, true).orElseThrow();
      boolean bad = batch.records().stream().anyMatch(r -> r.requestId().equals("r5"));
      List<Boolean> charged = batch.records().stream().map(r -> true).toList();
      List<SettlementQueue.Outcome> result =
          bad
              ? queue.refuse(batch.batch())
              : queue.acknowledge(new ControlReply.Settled(batch.batch(), charged));
      result.forEach(o -> outcomes.add(o.record().requestId() + " " + o.result()));
    }
    assertThat(outcomes).hasSize(8).contains("r5 REJECTED").contains("r7 CHARGED");
    assertThat(ledger.totals("hulls").settled()).isEqualTo(70);
    assertThat(ledger.totals("hulls").used()).isEqualTo(10);
  }
}
