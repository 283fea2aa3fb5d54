package org.goldcrestfall.core.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.goldcrestfall.core.prepaid.Demand;
import org.goldcrestfall.core.prepaid.GrantRule;
import org.goldcrestfall.core.prepaid.IncarnationTimes;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.quarantine.CrashReport;
import org.goldcrestfall.core.quarantine.LostAnswers;

/**
 * Guards against configurations that go back to an older version, and against prepaid totals that
 * do not belong to the configuration in force.
 */
final class SiteStateTest {

  private static final IncarnationTimes TIMES =
      new IncarnationTimes("r", 0, 0, 0, 0, 0, LeaderTime.NONE);

  private static SiteCommand.PutConfiguration put(long version, long total) {
    return new SiteCommand.PutConfiguration(
        version, new byte[] {(byte) version}, ImmutableMap.of("w", total));
  }

  @Example
  void onlyHigherVersionComesIntoForce() {
    SiteState state = new SiteState();
    state.apply(1, put(7, 100));
    assertThat(state.apply(2, put(5, 200)).version()).hasValue(7);
    assertThat(state.apply(3, put(7, 300)).version()).hasValue(7);
    assertThat(state.configuration().orElseThrow().index()).isEqualTo(1);
    assertThat(state.configuration().orElseThrow().totals()).containsEntry("w", 100L);
    assertThat(state.apply(4, put(9, 400)).version()).hasValue(9);
    assertThat(state.configuration().orElseThrow().index()).isEqualTo(4);
  }

  /**
   * Guards against a first configuration that is acknowledged, but not in force for its version.
   */
  @Property
  void firstConfigurationIsInForceWithAnyVersion(
      @ForAll("edgeVersions") long first, @ForAll("edgeVersions") long second) {
    SiteState state = new SiteState();
    assertThat(state.version()).isEmpty();
    assertThat(state.apply(1, put(first, 100)).version()).hasValue(first);
    assertThat(state.configuration().orElseThrow().index()).isEqualTo(1);
    assertThat(state.apply(2, put(second, 200)).version()).hasValue(Math.max(first, second));
    assertThat(state.configuration().orElseThrow().index()).isEqualTo(second > first ? 2 : 1);
  }

  @Provide
  Arbitrary<Long> edgeVersions() {
    return Arbitraries.of(Long.MIN_VALUE, -1L, 0L, 1L, 7L, Long.MAX_VALUE);
  }

  /**
   * Guards against a member that publishes old configurations while it replays its log: a router
   * received configuration 17 from such a member, and 70 only 40 ms later.
   */
  @Example
  void replayedConfigurationsAreWithheldUntilConfirmedOneIsReached() {
    SiteState state = new SiteState();
    ReplayProgress progress = new ReplayProgress();
    state.apply(1, put(1, 100));
    assertThat(progress.isComplete(state.configuration().orElseThrow().index())).isFalse();
    progress.recordConfirmedIndex(3);
    assertThat(progress.isComplete(state.configuration().orElseThrow().index())).isFalse();
    state.apply(3, put(2, 100));
    assertThat(progress.isComplete(state.configuration().orElseThrow().index())).isTrue();
    state.apply(4, put(3, 100));
    assertThat(progress.isComplete(state.configuration().orElseThrow().index())).isTrue();
  }

  @Example
  void restoredStateKeepsGrantedTokens() {
    SiteState state = new SiteState();
    state.apply(1, put(1, 100));
    var demand = List.of(new Demand("w", 0, 0, 0, 20, 0, 0, 0, Optional.empty()));
    state.apply(
        2,
        new SiteCommand.RenewAllotments(
            "r", 1, TIMES, demand, LeaderTime.NONE, GrantRule.WHOLE_REQUESTS));
    SiteState restored = new SiteState();
    restored.restore(
        state.configuration(),
        state.allotments(),
        state.quarantineSnapshot(),
        state.evacuatedZones(),
        state.routerNumbers());
    var reply =
        restored.apply(
            3,
            new SiteCommand.RenewAllotments(
                "r", 1, TIMES, demand, LeaderTime.NONE, GrantRule.WHOLE_REQUESTS));
    assertThat(reply.allotments().get(0).grantedTotal()).isEqualTo(20);
    assertThat(reply.allotments().get(0).available()).isEqualTo(80);
  }

  /** Guards against prompts that crash upstreams again after all control daemons have restarted. */
  @Property
  void restoredStateKeepsTheQuarantineAndTheCrashesThatLeadToIt(@ForAll boolean legacy) {
    SiteState state = new SiteState();
    for (int u = 1; u <= 3; u++) {
      state.apply(u, crash("u" + u, u * 1_000, "bad", legacy));
    }
    state.apply(4, crash("u4", 4_000, "other", legacy));
    state.apply(5, crash("u5", 5_000, "other", legacy));
    SiteState restored = new SiteState();
    restored.restore(
        state.configuration(),
        state.allotments(),
        state.quarantineSnapshot(),
        state.evacuatedZones(),
        state.routerNumbers());
    assertThat(restored.quarantine()).isEqualTo(state.quarantine());
    assertThat(state.quarantine().parts().values())
        .filteredOn(s -> s.quarantinedAtMillis() != 0)
        .extracting(s -> s.part().part())
        .containsExactly("bad");
    state.apply(6, crash("u6", 6_000, "other", legacy));
    restored.apply(6, crash("u6", 6_000, "other", legacy));
    assertThat(restored.quarantine()).isEqualTo(state.quarantine());
    assertThat(restored.quarantine().index()).isEqualTo(6);
  }

  /**
   * Guards against members of two releases that decide differently, and against a quarantine that
   * is lost when the last member of the earlier release has gone.
   */
  @Example
  void quarantineOfTheEarlierProtocolGoesOnInTheNewOne() {
    SiteState state = new SiteState();
    for (int u = 1; u <= 3; u++) {
      state.apply(u, crash("u" + u, u * 1_000, "bad", true));
    }
    state.apply(4, crash("u4", 4_000, "other", true));
    state.apply(5, crash("u5", 5_000, "other", false));
    state.apply(6, crash("u6", 6_000, "other", false));
    assertThat(state.quarantine().parts().values())
        .filteredOn(s -> s.quarantinedAtMillis() != 0)
        .extracting(s -> s.part().part())
        .containsExactlyInAnyOrder("bad", "other");
    assertThat(state.quarantineSnapshot().legacyReports()).isEmpty();
  }

  private static SiteCommand crash(String upstream, long atMillis, String part, boolean legacy) {
    var report =
        new CrashReport("s", upstream, 1, "on " + upstream, ImmutableList.of(part), atMillis);
    return legacy
        ? new SiteCommand.ReportCrashes(List.of(report), List.of(), atMillis)
        : new SiteCommand.ReportAnswers(List.of(LostAnswers.of(report)), List.of(), atMillis);
  }
}
