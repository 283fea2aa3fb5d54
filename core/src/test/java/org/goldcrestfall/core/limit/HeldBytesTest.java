package org.goldcrestfall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against memory that grows with the number of holders although each has a limit. */
final class HeldBytesTest {

  private final HeldBytes<String> held = new HeldBytes<>(1_000);

  @Example
  void manyHoldersTogetherExceedTheLimit() {
    for (int i = 0; i < 10; i++) {
      held.set("h" + i, 100);
    }
    assertThat(held.isExceeded()).isFalse();
    held.set("h10", 1);
    assertThat(held.isExceeded()).isTrue();
  }

  @Example
  void largestHolderGoesFirstSoThatSmallOnesStay() {
    held.set("small", 10);
    held.set("large", 900);
    held.set("latest", 200);
    assertThat(held.largest()).contains("large");
    held.set("large", 0);
    assertThat(held.isExceeded()).isFalse();
    assertThat(held.total()).isEqualTo(210);
    assertThat(held.largest()).contains("latest");
  }

  @Example
  void holderIsCountedOnceHoweverOftenItIsSet() {
    held.set("a", 600);
    held.set("a", 700);
    assertThat(held.total()).isEqualTo(700);
    held.set("a", 0);
    held.set("a", 0);
    assertThat(held.total()).isZero();
    assertThat(held.largest()).isEmpty();
  }
}
