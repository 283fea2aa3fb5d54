package org.goldcrestfall.daemon.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.goldcrestfall.core.consensus.ProtocolVersion;
import org.goldcrestfall.core.prepaid.GrantRule;
import org.goldcrestfall.core.prepaid.IncarnationTimes;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.quarantine.AnswerProgress;
import org.goldcrestfall.core.quarantine.Crash;
import org.goldcrestfall.core.quarantine.CrashReport;
import org.goldcrestfall.core.quarantine.LostAnswers;
import org.goldcrestfall.core.quarantine.PartLoss;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.quarantine.SoundAnswer;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;

/**
 * Guards against commands that change on the way into the log, except for the leader's time, and
 * against state that a snapshot changes.
 */
final class SiteCodecTest {

  private static final LeaderTime SENT_AT = new LeaderTime(5, 1_000, 7_000);

  @Example
  void lastProposalTimeOfCommandCounts() throws Exception {
    IncarnationTimes times = new IncarnationTimes("h", 1, 2, 3, 4, 5, SENT_AT);
    var sent =
        new SiteCommand.RenewAllotments(
            "h#1", 9, times, List.of(), LeaderTime.NONE, GrantRule.PARTS_OF_REQUESTS);
    byte[] command = SiteCodec.encodeCommand(sent);
    assertThat(SiteCodec.decodeCommand(command)).isEqualTo(sent);
    LeaderTime second = new LeaderTime(6, 0, -8_000);
    byte[] stamped =
        SiteCodec.appendProposal(SiteCodec.appendProposal(command, SENT_AT, 1), second, 2);
    assertThat(SiteCodec.decodeCommand(stamped))
        .isEqualTo(
            new SiteCommand.RenewAllotments(
                "h#1", 9, times, List.of(), second, GrantRule.WHOLE_REQUESTS));
  }

  /**
   * Guards against members of two releases that decide differently: the protocol of the group tells
   * which part of a report counts, whichever release sent it.
   */
  @Example
  void reportOfCrashesIsReadByTheRuleOfTheGroup() throws Exception {
    var crash = new Crash("s", "u1", 7);
    var begun = new PartLoss("a", ImmutableSet.of("r1"), Optional.of(new AnswerProgress(20, 3)));
    var notBegun = new PartLoss("b", ImmutableSet.of("r2", "r3"), Optional.empty());
    var sent =
        new SiteCommand.ReportAnswers(
            List.of(new LostAnswers(crash, 50, ImmutableList.of(begun, notBegun))),
            List.of(
                SoundAnswer.ended(new ServicePart("s", "c")),
                new SoundAnswer(
                    new ServicePart("s", "d"), Optional.of(new AnswerProgress(900, 0)))),
            60);
    byte[] command = SiteCodec.encodeCommand(sent);
    var legacy =
        new SiteCommand.ReportCrashes(
            List.of(
                new CrashReport("s", "u1", 7, "r2", ImmutableList.of("b"), 50),
                new CrashReport("s", "u1", 7, "r3", ImmutableList.of("b"), 50)),
            List.of(new ServicePart("s", "c")),
            60);
    assertThat(decodedAt(ProtocolVersion.COUNTED_LOSSES, command)).isEqualTo(sent);
    assertThat(decodedAt(ProtocolVersion.JOINT_CHANGES, command)).isEqualTo(legacy);
    assertThat(decodedAt(ProtocolVersion.COUNTED_LOSSES, SiteCodec.encodeCommand(legacy)))
        .isEqualTo(
            new SiteCommand.ReportAnswers(
                legacy.lost().stream().map(LostAnswers::of).toList(),
                List.of(SoundAnswer.ended(new ServicePart("s", "c"))),
                60));
  }

  private static SiteCommand decodedAt(int protocol, byte[] command) throws Exception {
    return SiteCodec.decodeCommand(SiteCodec.appendProposal(command, SENT_AT, protocol));
  }

  /** Guards against a restart of a control daemon that lets crashing prompts through again. */
  @Example
  void snapshotKeepsCrashesAndSuspectParts() throws Exception {
    for (int protocol : new int[] {ProtocolVersion.JOINT_CHANGES, ProtocolVersion.NEWEST}) {
      SiteState state = new SiteState();
      for (int u = 1; u <= 4; u++) {
        String part = u < 4 ? "bad" : "other";
        var loss = new PartLoss(part, ImmutableSet.of("r" + u), Optional.empty());
        var lost = new LostAnswers(new Crash("s", "u" + u, 1), 1_000 * u, ImmutableList.of(loss));
        byte[] command =
            SiteCodec.encodeCommand(
                new SiteCommand.ReportAnswers(List.of(lost), List.of(), 1_000 * u));
        state.apply(u, decodedAt(protocol, command));
      }
      SiteState read = restored(SiteCodec.encodeSnapshot(state));
      assertThat(read.quarantine()).isEqualTo(state.quarantine());
      assertThat(read.quarantineSnapshot()).isEqualTo(state.quarantineSnapshot());
    }
  }

  /** Guards against a snapshot that loses the configuration if its version is 0. */
  @Example
  void snapshotKeepsConfigurationOfVersionZeroAndItsAbsence() throws Exception {
    SiteState empty = new SiteState();
    assertThat(restored(SiteCodec.encodeSnapshot(empty)).configuration()).isEmpty();
    SiteState state = new SiteState();
    state.apply(3, new SiteCommand.PutConfiguration(0, new byte[] {5}, ImmutableMap.of("w", 0L)));
    var read = restored(SiteCodec.encodeSnapshot(state)).configuration().orElseThrow();
    assertThat(read.version()).isEqualTo(0);
    assertThat(read.index()).isEqualTo(3);
    assertThat(read.document()).containsExactly(5);
    assertThat(read.totals()).containsExactly(Map.entry("w", 0L));
  }

  /**
   * Guards against data of earlier releases, which left fields out that are 0, that is unreadable.
   */
  @Example
  void snapshotsOfEarlierReleasesAreRead() throws Exception {
    assertThat(restored(new byte[0]).configuration()).isEmpty();
    byte[] version7AtIndex9 = {0x08, 7, 0x10, 9, 0x1a, 1, 5};
    var read = restored(version7AtIndex9).configuration().orElseThrow();
    assertThat(read.version()).isEqualTo(7);
    assertThat(read.index()).isEqualTo(9);
    assertThat(read.document()).containsExactly(5);
  }

  private static SiteState restored(byte[] snapshot) throws Exception {
    SiteState state = new SiteState();
    SiteCodec.restoreSnapshot(state, snapshot);
    return state;
  }
}
