package org.goldcrestfall.daemon.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.goldcrestfall.core.prepaid.Demand;
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
import org.goldcrestfall.core.registry.UpstreamState;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.SiteUpdate;
import org.goldcrestfall.wire.generated.UpstreamEntry;
import org.goldcrestfall.wire.generated.UpstreamShare;

/**
 * Guards against messages of odd content that throw where they are decoded or applied: a log entry
 * that throws stops every control daemon, and an odd entry of an update keeps back the others.
 */
class OddMessageTest {

  private static final long[] ODD_NUMBERS = {
    0, 1, -1, 5, 100, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE
  };
  private static final String[] ODD_TEXTS = {"", "w", "r", "r#1", "\0", "é".repeat(300)};

  private static long number(Random r) {
    return ODD_NUMBERS[r.nextInt(ODD_NUMBERS.length)];
  }

  private static String text(Random r) {
    return ODD_TEXTS[r.nextInt(ODD_TEXTS.length)];
  }

  private static SiteCommand command(Random r) {
    return switch (r.nextInt(4)) {
      case 0 ->
          new SiteCommand.PutConfiguration(
              number(r), new byte[r.nextInt(3)], ImmutableMap.of(text(r), number(r)));
      case 1 ->
          new SiteCommand.RenewAllotments(
              text(r),
              number(r),
              new IncarnationTimes(
                  text(r),
                  number(r),
                  number(r),
                  number(r),
                  number(r),
                  number(r),
                  new LeaderTime(number(r), number(r), number(r))),
              List.of(demand(r), demand(r)),
              new LeaderTime(number(r), number(r), number(r)),
              GrantRule.values()[r.nextInt(2)]);
      case 2 ->
          new SiteCommand.ReportAnswers(
              List.of(
                  new LostAnswers(
                      new Crash(text(r), text(r), number(r)),
                      number(r),
                      ImmutableList.of(
                          new PartLoss(text(r), ImmutableSet.of(text(r)), progress(r)),
                          new PartLoss(text(r), ImmutableSet.of(), progress(r))))),
              List.of(new SoundAnswer(new ServicePart(text(r), text(r)), progress(r))),
              number(r));
      default ->
          new SiteCommand.ReportCrashes(
              List.of(
                  new CrashReport(
                      text(r),
                      text(r),
                      number(r),
                      text(r),
                      ImmutableList.of(text(r), text(r)),
                      number(r))),
              List.of(new ServicePart(text(r), text(r))),
              number(r));
    };
  }

  private static Optional<AnswerProgress> progress(Random r) {
    return r.nextBoolean()
        ? Optional.of(new AnswerProgress(number(r), number(r)))
        : Optional.empty();
  }

  private static Demand demand(Random r) {
    return new Demand(
        text(r),
        number(r),
        number(r),
        number(r),
        number(r),
        number(r),
        number(r),
        number(r),
        Optional.empty());
  }

  /** Returns a copy with some bytes changed, removed or repeated. */
  private static byte[] mutate(byte[] bytes, Random r) {
    byte[] out = bytes.clone();
    for (int i = r.nextInt(4); i > 0 && out.length > 0; i--) {
      int at = r.nextInt(out.length);
      switch (r.nextInt(3)) {
        case 0 -> out[at] = (byte) r.nextInt();
        case 1 -> out = Arrays.copyOf(out, at);
        default -> {
          byte[] longer = Arrays.copyOf(out, out.length + at);
          System.arraycopy(out, 0, longer, out.length, at);
          out = longer;
        }
      }
    }
    return out;
  }

  @Property(tries = 400, seed = "7601")
  void oddLogEntriesDoNotStopControlDaemons(@ForAll long seed) {
    Random r = new Random(seed);
    SiteStateMachine machine = new SiteStateMachine();
    for (int index = 1; index <= 12; index++) {
      machine.apply(index, mutate(SiteCodec.encodeCommand(command(r)), r));
    }
    new SiteStateMachine().restore(machine.snapshot());
  }

  @Property(tries = 400, seed = "7602")
  void oddUpdatesAreDecoded(@ForAll long seed) {
    Random r = new Random(seed);
    SiteUpdate.Builder update = SiteUpdate.newBuilder();
    for (int i = 0; i < 3; i++) {
      update.addUpstreams(
          UpstreamEntry.newBuilder()
              .setId(text(r))
              .setAddress(text(r))
              .setState((int) number(r))
              .setSlots((int) number(r))
              .setStartedAt(number(r))
              .setSequence(number(r)));
      update.addControls(DaemonEntry.newBuilder().setHost(text(r)).setAddress(text(r)));
    }
    update.setDaemonsChange(number(r)).setQuarantineIndex(number(r));
    SiteUpdate odd;
    try {
      odd = SiteUpdate.parseFrom(mutate(update.build().toByteArray(), r));
    } catch (InvalidProtocolBufferException e) {
      return;
    }
    odd.getUpstreamsList().forEach(SiteCodec::decodeEntry);
    SiteCodec.decodeDaemons(odd);
    QuarantineCodec.decodeSuspects(odd.getQuarantineIndex(), odd.getSuspectPartsList());
  }

  @Property(tries = 200, seed = "7603")
  void oddLoadsAreDecoded(@ForAll long seed) throws Exception {
    Random r = new Random(seed);
    List<UpstreamShare> odd =
        List.of(
            UpstreamShare.newBuilder()
                .setUpstream(text(r))
                .setRunning((int) number(r))
                .setBacklog((int) number(r))
                .build());
    LoadCodec.decodeLoads(odd);
    LoadCodec.decodeParts(odd);
  }

  @Example
  void stateBeyondTheKnownOnesIsDecodedAsGone() {
    for (int state : new int[] {3, Integer.MAX_VALUE, -1, Integer.MIN_VALUE}) {
      UpstreamEntry e = UpstreamEntry.newBuilder().setState(state).build();
      assertThat(SiteCodec.decodeEntry(e).state()).isEqualTo(UpstreamState.GONE);
    }
  }
}
