package org.goldcrestfall.daemon.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.goldcrestfall.core.prepaid.IncarnationTimes;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.site.SiteCommand;

/** Guards against commands that change on the way into the log, except for the leader's time. */
final class SiteCodecTest {

  private static final LeaderTime SENT_AT = new LeaderTime(5, 1_000, 7_000);

  @Example
  void lastProposalTimeOfCommandCounts() throws Exception {
    IncarnationTimes times = new IncarnationTimes("h", 1, 2, 3, 4, 5, SENT_AT);
    var sent = new SiteCommand.RenewAllotments("h#1", 9, times, List.of(), LeaderTime.NONE);
    byte[] command = SiteCodec.encodeCommand(sent);
    assertThat(SiteCodec.decodeCommand(command)).isEqualTo(sent);
    LeaderTime second = new LeaderTime(6, 0, -8_000);
    byte[] stamped =
        SiteCodec.appendProposedAt(SiteCodec.appendProposedAt(command, SENT_AT), second);
    assertThat(SiteCodec.decodeCommand(stamped))
        .isEqualTo(new SiteCommand.RenewAllotments("h#1", 9, times, List.of(), second));
  }
}
