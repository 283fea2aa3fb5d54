package org.goldcrestfall.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against routers that keep searching for tokens that neither ledger nor peers have. */
final class PrepaidAccountTest {

  @Example
  void failedSearchIsNotRepeatedForShortTime() {
    PrepaidAccount account = new PrepaidAccount();
    account.recordFailedSearch(5_000, 1_000);
    assertThat(account.hasSearchFailedRecently(5_000, 1_100)).isTrue();
    assertThat(account.hasSearchFailedRecently(9_000, 1_100)).isTrue();
    assertThat(account.hasSearchFailedRecently(4_999, 1_100)).isFalse();
    assertThat(account.hasSearchFailedRecently(5_000, 2_000)).isFalse();
  }

  @Example
  void failedSearchCoversLargerOnes() {
    PrepaidAccount account = new PrepaidAccount();
    account.recordFailedSearch(5_000, 1_000);
    account.recordFailedSearch(2_000, 1_200);
    account.recordFailedSearch(8_000, 1_300);
    assertThat(account.hasSearchFailedRecently(3_000, 1_400)).isTrue();
    account.recordFailedSearch(8_000, 5_000);
    assertThat(account.hasSearchFailedRecently(3_000, 5_100)).isFalse();
  }
}
