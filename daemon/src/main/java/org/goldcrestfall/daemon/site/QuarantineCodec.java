package org.goldcrestfall.daemon.site;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.goldcrestfall.core.consensus.ProtocolVersion;
import org.goldcrestfall.core.quarantine.AnswerProgress;
import org.goldcrestfall.core.quarantine.Crash;
import org.goldcrestfall.core.quarantine.CrashReport;
import org.goldcrestfall.core.quarantine.LostAnswers;
import org.goldcrestfall.core.quarantine.PartLoss;
import org.goldcrestfall.core.quarantine.PartQuarantine;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.quarantine.SoundAnswer;
import org.goldcrestfall.core.quarantine.SuspectPart;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.wire.generated.AnswerReport;
import org.goldcrestfall.wire.generated.CrashLoss;
import org.goldcrestfall.wire.generated.PartState;
import org.goldcrestfall.wire.generated.ReportCrashes;
import org.goldcrestfall.wire.generated.SiteSnapshot;
import org.goldcrestfall.wire.generated.UpstreamCrash;

/** Converts reports of crashes and the state of prompt parts to and from protobuf. */
final class QuarantineCodec {

  private QuarantineCodec() {}

  /** Returns a report that groups of all protocol versions can apply. */
  static ReportCrashes encodeReport(SiteCommand.ReportAnswers report) {
    AnswerReport.Builder answers = AnswerReport.newBuilder();
    report.lost().forEach(l -> answers.addLost(encodeLost(l)));
    report.sound().forEach(s -> answers.addSound(encodeSound(s)));
    return encodeLegacyReport(legacyOf(report)).toBuilder().setAnswers(answers).build();
  }

  /** Returns what earlier releases would report: requests whose answers had not begun. */
  private static SiteCommand.ReportCrashes legacyOf(SiteCommand.ReportAnswers report) {
    List<CrashReport> lost = new ArrayList<>();
    for (LostAnswers l : report.lost()) {
      SetMultimap<String, String> partsByRequest = LinkedHashMultimap.create();
      for (PartLoss p : l.parts()) {
        if (p.longest().isEmpty()) {
          p.requests().forEach(r -> partsByRequest.put(r, p.part()));
        }
      }
      for (String request : partsByRequest.keySet()) {
        lost.add(
            new CrashReport(
                l.crash().service(),
                l.crash().upstream(),
                l.crash().startedAtMillis(),
                request,
                ImmutableList.copyOf(partsByRequest.get(request)),
                l.atMillis()));
      }
    }
    List<ServicePart> answered =
        report.sound().stream().filter(s -> s.progress().isEmpty()).map(SoundAnswer::part).toList();
    return new SiteCommand.ReportCrashes(lost, answered, report.sentAtMillis());
  }

  static ReportCrashes encodeLegacyReport(SiteCommand.ReportCrashes report) {
    ReportCrashes.Builder out = ReportCrashes.newBuilder().setSentAt(report.sentAtMillis());
    report.lost().forEach(r -> out.addLost(encodeCrashReport(r)));
    report.answered().forEach(p -> out.addAnswered(encodePart(p)));
    return out.build();
  }

  /**
   * Returns the command that a report is in a group.
   *
   * @param protocol the protocol version that the group ran when the command was proposed
   */
  static SiteCommand decodeReport(ReportCrashes report, int protocol) {
    List<CrashReport> lost =
        report.getLostList().stream().map(QuarantineCodec::decodeCrashReport).toList();
    List<ServicePart> answered =
        report.getAnsweredList().stream().map(QuarantineCodec::decodePart).toList();
    if (protocol < ProtocolVersion.COUNTED_LOSSES) {
      return new SiteCommand.ReportCrashes(lost, answered, report.getSentAt());
    }
    if (!report.hasAnswers()) {
      return new SiteCommand.ReportAnswers(
          lost.stream().map(LostAnswers::of).toList(),
          answered.stream().map(SoundAnswer::ended).toList(),
          report.getSentAt());
    }
    AnswerReport answers = report.getAnswers();
    return new SiteCommand.ReportAnswers(
        answers.getLostList().stream().map(QuarantineCodec::decodeLost).toList(),
        answers.getSoundList().stream().map(QuarantineCodec::decodeSound).toList(),
        report.getSentAt());
  }

  private static org.goldcrestfall.wire.generated.CrashReport encodeCrashReport(CrashReport r) {
    return org.goldcrestfall.wire.generated.CrashReport.newBuilder()
        .setService(r.service())
        .setUpstream(r.upstream())
        .setStartedAt(r.startedAtMillis())
        .setRequest(r.request())
        .addAllParts(r.parts())
        .setAt(r.atMillis())
        .build();
  }

  private static CrashReport decodeCrashReport(org.goldcrestfall.wire.generated.CrashReport r) {
    return new CrashReport(
        r.getService(),
        r.getUpstream(),
        r.getStartedAt(),
        r.getRequest(),
        ImmutableList.copyOf(r.getPartsList()),
        r.getAt());
  }

  private static org.goldcrestfall.wire.generated.LostAnswers encodeLost(LostAnswers l) {
    var out =
        org.goldcrestfall.wire.generated.LostAnswers.newBuilder()
            .setCrash(encodeCrash(l.crash(), l.atMillis()));
    l.parts().forEach(p -> out.addParts(encodePartLoss(p)));
    return out.build();
  }

  private static LostAnswers decodeLost(org.goldcrestfall.wire.generated.LostAnswers l) {
    return new LostAnswers(
        decodeCrash(l.getCrash()),
        l.getCrash().getAt(),
        l.getPartsList().stream()
            .map(QuarantineCodec::decodePartLoss)
            .collect(ImmutableList.toImmutableList()));
  }

  private static org.goldcrestfall.wire.generated.PartLoss encodePartLoss(PartLoss p) {
    var out =
        org.goldcrestfall.wire.generated.PartLoss.newBuilder()
            .setPart(p.part())
            .addAllRequests(p.requests());
    p.longest().ifPresent(l -> out.setLongest(encodeProgress(l)));
    return out.build();
  }

  private static PartLoss decodePartLoss(org.goldcrestfall.wire.generated.PartLoss p) {
    return new PartLoss(
        p.getPart(),
        ImmutableSet.copyOf(p.getRequestsList()),
        p.hasLongest() ? Optional.of(decodeProgress(p.getLongest())) : Optional.empty());
  }

  private static org.goldcrestfall.wire.generated.SoundAnswer encodeSound(SoundAnswer s) {
    var out =
        org.goldcrestfall.wire.generated.SoundAnswer.newBuilder().setPart(encodePart(s.part()));
    s.progress().ifPresent(p -> out.setProgress(encodeProgress(p)));
    return out.build();
  }

  private static SoundAnswer decodeSound(org.goldcrestfall.wire.generated.SoundAnswer s) {
    return new SoundAnswer(
        decodePart(s.getPart()),
        s.hasProgress() ? Optional.of(decodeProgress(s.getProgress())) : Optional.empty());
  }

  private static org.goldcrestfall.wire.generated.AnswerProgress encodeProgress(AnswerProgress p) {
    return org.goldcrestfall.wire.generated.AnswerProgress.newBuilder()
        .setWrittenMillis(p.writtenMillis())
        .setEvents(p.events())
        .build();
  }

  private static AnswerProgress decodeProgress(org.goldcrestfall.wire.generated.AnswerProgress p) {
    return new AnswerProgress(p.getWrittenMillis(), p.getEvents());
  }

  private static org.goldcrestfall.wire.generated.ServicePart encodePart(ServicePart p) {
    return org.goldcrestfall.wire.generated.ServicePart.newBuilder()
        .setService(p.service())
        .setPart(p.part())
        .build();
  }

  private static ServicePart decodePart(org.goldcrestfall.wire.generated.ServicePart p) {
    return new ServicePart(p.getService(), p.getPart());
  }

  static void encodeSnapshot(SiteState.QuarantineSnapshot snapshot, SiteSnapshot.Builder out) {
    snapshot.legacyReports().forEach(r -> out.addCrashReports(encodeCrashReport(r)));
    snapshot.crashes().forEach(c -> out.addCrashes(encodeCrash(c.crash(), c.atMillis())));
    for (PartQuarantine.PartState p : snapshot.parts()) {
      PartState.Builder part = PartState.newBuilder().setPart(encodePart(p.part()));
      for (PartQuarantine.Loss l : p.losses()) {
        part.addLosses(
            CrashLoss.newBuilder()
                .setCrash(encodeCrash(l.crash(), l.atMillis()))
                .setAnswers(encodePartLoss(l.answers())));
      }
      p.quarantinedAtMillis().ifPresent(part::setQuarantinedAt);
      out.addParts(part);
    }
    out.addAllSuspectParts(encodeSuspects(snapshot.view()))
        .setQuarantineIndex(snapshot.view().index());
  }

  static SiteState.QuarantineSnapshot decodeSnapshot(SiteSnapshot snapshot) {
    List<PartQuarantine.PartState> parts = new ArrayList<>();
    for (PartState p : snapshot.getPartsList()) {
      parts.add(
          new PartQuarantine.PartState(
              decodePart(p.getPart()),
              p.getLossesList().stream()
                  .map(QuarantineCodec::decodeLoss)
                  .collect(ImmutableList.toImmutableList()),
              p.hasQuarantinedAt() ? OptionalLong.of(p.getQuarantinedAt()) : OptionalLong.empty()));
    }
    return new SiteState.QuarantineSnapshot(
        snapshot.getCrashReportsList().stream().map(QuarantineCodec::decodeCrashReport).toList(),
        snapshot.getCrashesList().stream()
            .map(c -> new PartQuarantine.CrashTime(decodeCrash(c), c.getAt()))
            .toList(),
        parts,
        decodeSuspects(snapshot.getQuarantineIndex(), snapshot.getSuspectPartsList()));
  }

  private static PartQuarantine.Loss decodeLoss(CrashLoss l) {
    return new PartQuarantine.Loss(
        decodeCrash(l.getCrash()), l.getCrash().getAt(), decodePartLoss(l.getAnswers()));
  }

  private static UpstreamCrash encodeCrash(Crash crash, long atMillis) {
    return UpstreamCrash.newBuilder()
        .setService(crash.service())
        .setUpstream(crash.upstream())
        .setStartedAt(crash.startedAtMillis())
        .setAt(atMillis)
        .build();
  }

  private static Crash decodeCrash(UpstreamCrash c) {
    return new Crash(c.getService(), c.getUpstream(), c.getStartedAt());
  }

  static List<org.goldcrestfall.wire.generated.SuspectPart> encodeSuspects(QuarantineView view) {
    List<org.goldcrestfall.wire.generated.SuspectPart> out = new ArrayList<>();
    for (SuspectPart s : view.parts().values()) {
      var part =
          org.goldcrestfall.wire.generated.SuspectPart.newBuilder()
              .setService(s.part().service())
              .setPart(s.part().part())
              .addAllUpstreams(s.upstreams())
              .addAllCompanions(s.companions())
              .setQuarantinedAt(s.quarantinedAtMillis());
      s.soundAfter().ifPresent(p -> part.setSoundAfter(encodeProgress(p)));
      out.add(part.build());
    }
    return out;
  }

  static QuarantineView decodeSuspects(
      long index, List<org.goldcrestfall.wire.generated.SuspectPart> suspects) {
    List<SuspectPart> parts = new ArrayList<>();
    for (var s : suspects) {
      parts.add(
          new SuspectPart(
              new ServicePart(s.getService(), s.getPart()),
              ImmutableSet.copyOf(s.getUpstreamsList()),
              ImmutableSet.copyOf(s.getCompanionsList()),
              s.getQuarantinedAt(),
              s.hasSoundAfter()
                  ? Optional.of(decodeProgress(s.getSoundAfter()))
                  : Optional.empty()));
    }
    return QuarantineView.of(index, parts);
  }
}
