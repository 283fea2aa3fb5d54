package org.goldcrestfall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against bodies of very small parts, which take the processor from other requests. */
final class FragmentLimitTest {

  private final FragmentLimit limit = new FragmentLimit();

  private boolean acceptsAll(int parts, int bytes) {
    boolean accepted = true;
    for (int i = 0; i < parts; i++) {
      accepted &= limit.onPart(bytes);
    }
    return accepted;
  }

  @Example
  void bodyInPartsOfOneByteIsEnded() {
    assertThat(acceptsAll(FragmentLimit.UNLIMITED_PARTS, 1)).isTrue();
    assertThat(limit.onPart(1)).isFalse();
  }

  @Example
  void longStreamOfShortEventsIsAccepted() {
    assertThat(acceptsAll(1_000_000, "data:x\n\n".length())).isTrue();
  }

  @Example
  void someSmallPartsInLongBodyAreAccepted() {
    assertThat(acceptsAll(100, 16_384)).isTrue();
    assertThat(acceptsAll(100_000, 1)).isTrue();
  }
}
