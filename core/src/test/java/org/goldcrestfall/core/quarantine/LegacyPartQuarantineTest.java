package org.goldcrestfall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import net.jqwik.api.Example;

/** Guards against members that decide differently than those of the release before. */
class LegacyPartQuarantineTest {

  private static final String SERVICE = "s";

  private final LegacyPartQuarantine quarantine = new LegacyPartQuarantine();
  private int requests;

  private void crash(String upstream, long atMillis, String... parts) {
    var report =
        new CrashReport(
            SERVICE, upstream, 1, "r" + ++requests, ImmutableList.copyOf(parts), atMillis);
    quarantine.update(List.of(report), List.of(), atMillis);
  }

  private void answer(String part, long atMillis) {
    quarantine.update(List.of(), List.of(new ServicePart(SERVICE, part)), atMillis);
  }

  private List<String> refusedParts() {
    return quarantine.suspects().stream()
        .filter(s -> s.quarantinedAtMillis() != 0)
        .map(s -> s.part().part())
        .toList();
  }

  @Example
  void partIsRefusedAfterThreeUpstreamsCrashedUnderIt() {
    crash("u1", 1_000, "workspace", "bad");
    answer("workspace", 1_100);
    crash("u2", 2_000, "workspace", "bad");
    assertThat(refusedParts()).isEmpty();
    answer("workspace", 2_100);
    crash("u3", 3_000, "workspace", "bad", "plan");
    assertThat(refusedParts()).containsExactly("bad");
    answer("bad", 3_100);
    assertThat(refusedParts()).isEmpty();
  }

  @Example
  void partThatWasLostInMoreCrashesThanItsCompanionIsRefusedAlone() {
    for (int u = 1; u <= 3; u++) {
      crash("u" + u, 1_000 * u, "plan", "bad");
    }
    assertThat(quarantine.suspects()).allMatch(s -> s.companions().size() == 1);
    crash("u4", 4_000, "other", "bad");
    assertThat(refusedParts()).containsExactly("bad");
  }

  @Example
  void simultaneousCrashesOfManyUpstreamsBlameNoPartButQuickOnesDo() {
    for (int u = 0; u < 6; u++) {
      crash("u" + u, 10_000 + u * 10, "common");
    }
    assertThat(refusedParts()).isEmpty();
    for (int u = 1; u <= 7; u++) {
      crash("v" + u, 20_000 + 50 * u, "bad");
    }
    assertThat(refusedParts()).containsExactly("bad");
  }

  @Example
  void partsStayRefusedWhenTheirCrashesAreNoLongerKept() {
    for (int u = 1; u <= 3; u++) {
      crash("u" + u, 1_000 * u, "bad");
    }
    for (int i = 0; i < 300; i++) {
      crash("v" + i, 7_000 + i, "sound" + i);
    }
    assertThat(refusedParts()).containsExactly("bad");
    assertThat(quarantine.reports()).hasSize(200);
  }
}
