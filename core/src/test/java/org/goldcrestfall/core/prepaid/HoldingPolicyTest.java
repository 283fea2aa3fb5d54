package org.goldcrestfall.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.goldcrestfall.core.common.TokenCount;

/** Guards against demands that do not match what requests need. */
final class HoldingPolicyTest {

  private static final String WORKSPACE = "w";
  private static final long TOTAL = 1_000_000;

  private static Demand demandOf(PrepaidAccount account, long nowMillis) {
    return HoldingPolicy.nextDemand(WORKSPACE, account, TOTAL, 5, false, nowMillis).orElseThrow();
  }

  /**
   * Guards against requests that come at once and are refused because only the tokens of the first
   * one were requested.
   */
  @Example
  void demandCoversAllRequestsThatWait() {
    PrepaidAccount account = new PrepaidAccount();
    account.applyAllotment(
        new PrepaidLedger.Allotment(WORKSPACE, 5_000, 3_000, 500_000, 500_000, Long.MAX_VALUE), 0);
    account.addWaiting(TokenCount.of(40_000));
    account.addWaiting(TokenCount.of(30_000));
    Demand demand = demandOf(account, 0);
    assertThat(demand.needed()).isEqualTo(65_000);
    assertThat(demand.toOpen()).isEqualTo(67_000);
    account.removeWaiting(TokenCount.of(30_000));
    assertThat(demandOf(account, 0).needed()).isEqualTo(35_000);
  }

  @Example
  void tokensAreNotReturnedWhileRequestsWaitForThem() {
    PrepaidAccount account = new PrepaidAccount();
    account.applyAllotment(
        new PrepaidLedger.Allotment(WORKSPACE, 50_000, 30_000, 500_000, 500_000, Long.MAX_VALUE),
        0);
    account.addWaiting(TokenCount.of(40_000));
    Demand demand = demandOf(account, 0);
    assertThat(demand.returnedTotal()).isZero();
    assertThat(demand.toOpen()).isEqualTo(10_000);
  }

  /** Guards against open tokens that a request gave back and that are lost with the router. */
  @Example
  void excessOfOpenTokensIsReturnedAtOnce() {
    PrepaidAccount account = new PrepaidAccount();
    account.applyAllotment(
        new PrepaidLedger.Allotment(WORKSPACE, 22_000, 12_000, 500_000, 500_000, Long.MAX_VALUE),
        0);
    account.recordDemand(TokenCount.of(10_000), 0);
    assertThat(account.reserve(TokenCount.of(10_000))).isTrue();
    assertThat(HoldingPolicy.hasTooManyOpenTokens(account, TOTAL, 5, 100)).isFalse();
    account.settle(TokenCount.of(10_000), TokenCount.of(2_500));
    assertThat(HoldingPolicy.hasTooManyOpenTokens(account, TOTAL, 5, 100)).isTrue();
    assertThat(demandOf(account, 100).openReturnedTotal()).isPositive();
    assertThat(HoldingPolicy.hasTooManyOpenTokens(account, TOTAL, 5, 100)).isFalse();
  }
}
