package org.goldcrestfall.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import net.jqwik.api.Example;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.ControlCommand.TransferAllotment;

/**
 * Guards the release of stranded tokens against transfers that arrive after it: tokens that were
 * released and also transferred would exist twice.
 */
final class TransferLedgerTest {

  private final Incarnation dead = new Incarnation("a1", 1);
  private final Incarnation self = new Incarnation("b1", 1);
  private final AllotmentLedger ledger = new AllotmentLedger(self);
  private final TransferLedger transfers = new TransferLedger(ledger);

  @Example
  void newTransferFromClosedIncarnationIsNotAccepted() {
    TransferAllotment early = new TransferAllotment(dead, self, "hulls", 1, 5);
    assertThat(transfers.receive(early)).isTrue();
    transfers.close(Set.of(dead), 40);
    assertThat(transfers.closedThrough()).as("a transfer is unreported").isEmpty();
    transfers.reported(early);
    assertThat(transfers.closedThrough()).contains(40L);
    assertThat(transfers.receive(new TransferAllotment(dead, self, "hulls", 2, 5))).isFalse();
    assertThat(transfers.receive(early)).as("a repeated one is acknowledged").isTrue();
    assertThat(ledger.available("hulls")).isEqualTo(5);
  }
}
