package org.goldcrestfall.daemon.site;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Bytes;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.goldcrestfall.core.consensus.ProtocolVersion;
import org.goldcrestfall.core.prepaid.Demand;
import org.goldcrestfall.core.prepaid.GrantRule;
import org.goldcrestfall.core.prepaid.IncarnationTimes;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.prepaid.PrepaidLedger;
import org.goldcrestfall.core.prepaid.Waiting;
import org.goldcrestfall.core.registry.UpstreamState;
import org.goldcrestfall.core.site.DaemonDirectory;
import org.goldcrestfall.core.site.EvacuatedZones;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteDaemon;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.core.warmup.RouterNumbers;
import org.goldcrestfall.wire.generated.AllotmentDemand;
import org.goldcrestfall.wire.generated.AllotmentState;
import org.goldcrestfall.wire.generated.AllotmentSums;
import org.goldcrestfall.wire.generated.DaemonEntry;
import org.goldcrestfall.wire.generated.PrepaidTotal;
import org.goldcrestfall.wire.generated.PutConfiguration;
import org.goldcrestfall.wire.generated.RegisterRouter;
import org.goldcrestfall.wire.generated.RenewAllotments;
import org.goldcrestfall.wire.generated.RouterAllotments;
import org.goldcrestfall.wire.generated.RouterLife;
import org.goldcrestfall.wire.generated.SetEvacuation;
import org.goldcrestfall.wire.generated.SiteReply;
import org.goldcrestfall.wire.generated.SiteSnapshot;
import org.goldcrestfall.wire.generated.SiteUpdate;
import org.goldcrestfall.wire.generated.UpstreamEntry;
import org.goldcrestfall.wire.generated.WaitingRequests;

/**
 * Converts the commands, replies, snapshots and upstream entries of a site to and from protobuf.
 */
final class SiteCodec {

  private static final UpstreamState[] STATES = UpstreamState.values();

  private SiteCodec() {}

  static byte[] encodeCommand(SiteCommand command) {
    var out = org.goldcrestfall.wire.generated.SiteCommand.newBuilder();
    if (command instanceof SiteCommand.PutConfiguration c) {
      out.setPut(
          PutConfiguration.newBuilder()
              .setVersion(c.version())
              .setDocument(ByteString.copyFrom(c.document()))
              .addAllTotals(encodeTotals(c.totals())));
    } else if (command instanceof SiteCommand.RenewAllotments c) {
      RenewAllotments.Builder renew =
          RenewAllotments.newBuilder()
              .setRouter(c.router())
              .setNumber(c.number())
              .setLife(encodeTimes(c.times()));
      for (Demand d : c.demands()) {
        AllotmentDemand.Builder demand =
            AllotmentDemand.newBuilder()
                .setWorkspace(d.workspace())
                .setReturnedTotal(d.returnedTotal())
                .setWanted(d.wanted())
                .setNeeded(d.needed())
                .setOpenReturnedTotal(d.openReturnedTotal())
                .setOpenedTotal(d.openedTotal())
                .setToOpen(d.toOpen())
                .setHeld(d.held());
        d.waiting().ifPresent(w -> demand.setWaiting(encodeWaiting(w)));
        renew.addDemands(demand);
      }
      out.setRenew(renew);
    } else if (command instanceof SiteCommand.ReportAnswers c) {
      out.setCrashes(QuarantineCodec.encodeReport(c));
    } else if (command instanceof SiteCommand.ReportCrashes c) {
      out.setCrashes(QuarantineCodec.encodeLegacyReport(c));
    } else if (command instanceof SiteCommand.RegisterRouter c) {
      out.setRegistration(RegisterRouter.newBuilder().setHost(c.host()));
    } else if (command instanceof SiteCommand.SetEvacuation c) {
      out.setEvacuation(SetEvacuation.newBuilder().setZone(c.zone()).setEvacuated(c.evacuated()));
    }
    return out.build().toByteArray();
  }

  /** Returns the command, or null if the message contains no command of a known kind. */
  static SiteCommand decodeCommand(byte[] bytes) throws InvalidProtocolBufferException {
    var decoded = org.goldcrestfall.wire.generated.SiteCommand.parseFrom(bytes);
    switch (decoded.getKindCase()) {
      case PUT:
        PutConfiguration put = decoded.getPut();
        return new SiteCommand.PutConfiguration(
            put.getVersion(), put.getDocument().toByteArray(), decodeTotals(put.getTotalsList()));
      case RENEW:
        List<Demand> demands = new ArrayList<>();
        for (AllotmentDemand d : decoded.getRenew().getDemandsList()) {
          demands.add(
              new Demand(
                  d.getWorkspace(),
                  d.getReturnedTotal(),
                  d.getOpenReturnedTotal(),
                  d.getOpenedTotal(),
                  d.getWanted(),
                  d.getNeeded(),
                  d.getToOpen(),
                  d.getHeld(),
                  d.hasWaiting() ? Optional.of(decodeWaiting(d.getWaiting())) : Optional.empty()));
        }
        return new SiteCommand.RenewAllotments(
            decoded.getRenew().getRouter(),
            decoded.getRenew().getNumber(),
            decodeTimes(decoded.getRenew().getLife()),
            demands,
            decodeLeaderTime(decoded.getProposedAt()),
            decoded.getProtocol() >= ProtocolVersion.JOINT_CHANGES
                ? GrantRule.WHOLE_REQUESTS
                : GrantRule.PARTS_OF_REQUESTS);
      case CRASHES:
        return QuarantineCodec.decodeReport(decoded.getCrashes(), decoded.getProtocol());
      case REGISTRATION:
        return new SiteCommand.RegisterRouter(decoded.getRegistration().getHost());
      case EVACUATION:
        return new SiteCommand.SetEvacuation(
            decoded.getEvacuation().getZone(), decoded.getEvacuation().getEvacuated());
      default:
        return null;
    }
  }

  private static WaitingRequests encodeWaiting(Waiting waiting) {
    return WaitingRequests.newBuilder()
        .addAllSizes(waiting.sizes())
        .setWanted(waiting.wanted())
        .setToOpen(waiting.toOpen())
        .build();
  }

  private static Waiting decodeWaiting(WaitingRequests waiting) {
    return new Waiting(
        ImmutableList.copyOf(waiting.getSizesList()), waiting.getWanted(), waiting.getToOpen());
  }

  /**
   * Returns the command with the time of its proposal and the version of the consensus protocol,
   * which replace earlier ones.
   */
  static byte[] appendProposal(byte[] command, LeaderTime time, int protocol) {
    // Fields of concatenated protobuf messages are merged, and the last value of each counts.
    byte[] proposal =
        org.goldcrestfall.wire.generated.SiteCommand.newBuilder()
            .setProposedAt(encodeLeaderTime(time))
            .setProtocol(protocol)
            .build()
            .toByteArray();
    return Bytes.concat(command, proposal);
  }

  private static org.goldcrestfall.wire.generated.LeaderTime encodeLeaderTime(LeaderTime time) {
    return org.goldcrestfall.wire.generated.LeaderTime.newBuilder()
        .setProcess(time.process())
        .setMonotonic(time.millis())
        .setClockOffset(time.clockOffsetMillis())
        .build();
  }

  private static LeaderTime decodeLeaderTime(org.goldcrestfall.wire.generated.LeaderTime time) {
    return new LeaderTime(time.getProcess(), time.getMonotonic(), time.getClockOffset());
  }

  static byte[] encodeReply(SiteState.Reply reply) {
    SiteReply.Builder out =
        SiteReply.newBuilder().setProposedAt(encodeLeaderTime(reply.proposedAt()));
    reply.version().ifPresent(out::setVersion);
    for (PrepaidLedger.Allotment a : reply.allotments()) {
      out.addAllotments(
          AllotmentState.newBuilder()
              .setWorkspace(a.workspace())
              .setGrantedTotal(a.grantedTotal())
              .setOpenedTotal(a.openedTotal())
              .setAvailable(a.available())
              .setUnused(a.unused())
              .setMaxHeld(a.maxHeld()));
    }
    return out.build().toByteArray();
  }

  static SiteState.Reply decodeReply(byte[] bytes) throws InvalidProtocolBufferException {
    SiteReply decoded = SiteReply.parseFrom(bytes);
    List<PrepaidLedger.Allotment> allotments = new ArrayList<>();
    for (AllotmentState a : decoded.getAllotmentsList()) {
      allotments.add(
          new PrepaidLedger.Allotment(
              a.getWorkspace(),
              a.getGrantedTotal(),
              a.getOpenedTotal(),
              a.getAvailable(),
              a.getUnused(),
              a.getMaxHeld()));
    }
    return new SiteState.Reply(
        decoded.hasVersion() ? OptionalLong.of(decoded.getVersion()) : OptionalLong.empty(),
        allotments,
        decodeLeaderTime(decoded.getProposedAt()));
  }

  static byte[] encodeSnapshot(SiteState state) {
    SiteSnapshot.Builder out = SiteSnapshot.newBuilder();
    state
        .configuration()
        .ifPresent(
            c ->
                out.setVersion(c.version())
                    .setConfigurationIndex(c.index())
                    .setDocument(ByteString.copyFrom(c.document()))
                    .addAllTotals(encodeTotals(c.totals())));
    for (PrepaidLedger.IncarnationTotals r : state.allotments()) {
      RouterAllotments.Builder router =
          RouterAllotments.newBuilder()
              .setRouter(r.router())
              .setNumber(r.number())
              .setLife(encodeTimes(r.times()))
              .setClosed(r.closed());
      for (PrepaidLedger.WorkspaceTotals workspaceTotals : r.sums()) {
        router.addSums(
            AllotmentSums.newBuilder()
                .setWorkspace(workspaceTotals.workspace())
                .setGrantedTotal(workspaceTotals.grantedTotal())
                .setReturnedTotal(workspaceTotals.returnedTotal())
                .setOpenedTotal(workspaceTotals.openedTotal())
                .setOpenReturnedTotal(workspaceTotals.openReturnedTotal())
                .setHeld(workspaceTotals.held()));
      }
      out.addRouters(router);
    }
    QuarantineCodec.encodeSnapshot(state.quarantineSnapshot(), out);
    out.addAllEvacuatedZones(state.evacuatedZones().zones())
        .setEvacuationIndex(state.evacuatedZones().index())
        // The map keeps the order of registration, which is that of the numbers.
        .addAllRegisteredHosts(state.routerNumbers().byHost().keySet())
        .setRegistrationIndex(state.routerNumbers().index());
    return out.build().toByteArray();
  }

  static void restoreSnapshot(SiteState state, byte[] bytes) throws InvalidProtocolBufferException {
    SiteSnapshot decoded = SiteSnapshot.parseFrom(bytes);
    List<PrepaidLedger.IncarnationTotals> routers = new ArrayList<>();
    for (RouterAllotments r : decoded.getRoutersList()) {
      List<PrepaidLedger.WorkspaceTotals> workspaceTotals = new ArrayList<>();
      for (AllotmentSums s : r.getSumsList()) {
        workspaceTotals.add(
            new PrepaidLedger.WorkspaceTotals(
                s.getWorkspace(),
                s.getGrantedTotal(),
                s.getReturnedTotal(),
                s.getOpenedTotal(),
                s.getOpenReturnedTotal(),
                s.getHeld()));
      }
      routers.add(
          new PrepaidLedger.IncarnationTotals(
              r.getRouter(),
              r.getNumber(),
              decodeTimes(r.getLife()),
              r.getClosed(),
              workspaceTotals));
    }
    state.restore(
        decodeConfiguration(decoded),
        routers,
        QuarantineCodec.decodeSnapshot(decoded),
        new EvacuatedZones(
            decoded.getEvacuationIndex(), ImmutableSet.copyOf(decoded.getEvacuatedZonesList())),
        decodeNumbers(decoded.getRegistrationIndex(), decoded.getRegisteredHostsList()));
  }

  private static Optional<SiteState.StoredConfiguration> decodeConfiguration(
      SiteSnapshot snapshot) {
    return snapshot.hasVersion()
        ? Optional.of(
            new SiteState.StoredConfiguration(
                snapshot.getVersion(),
                snapshot.getConfigurationIndex(),
                snapshot.getDocument().toByteArray(),
                decodeTotals(snapshot.getTotalsList())))
        : Optional.empty();
  }

  private static RouterNumbers decodeNumbers(long index, List<String> hosts) {
    RouterNumbers numbers = RouterNumbers.NONE;
    for (String host : hosts) {
      numbers = numbers.with(index, host);
    }
    return numbers;
  }

  private static RouterLife encodeTimes(IncarnationTimes times) {
    return RouterLife.newBuilder()
        .setHost(times.host())
        .setStartedAt(times.startedAtMillis())
        .setSentAt(times.sentAtMillis())
        .setOpensAt(times.reserveOpensAtMillis())
        .setOpeningMillis(times.reserveOpeningMillis())
        .setLeaderSentAt(encodeLeaderTime(times.leaderSentAt()))
        .setClockOffset(times.clockOffsetMillis())
        .build();
  }

  private static IncarnationTimes decodeTimes(RouterLife life) {
    return new IncarnationTimes(
        life.getHost(),
        life.getStartedAt(),
        life.getSentAt(),
        life.getOpensAt(),
        life.getOpeningMillis(),
        life.getClockOffset(),
        decodeLeaderTime(life.getLeaderSentAt()));
  }

  private static List<PrepaidTotal> encodeTotals(Map<String, Long> totals) {
    List<PrepaidTotal> out = new ArrayList<>();
    totals.forEach(
        (w, t) -> out.add(PrepaidTotal.newBuilder().setWorkspace(w).setTokens(t).build()));
    return out;
  }

  private static ImmutableMap<String, Long> decodeTotals(List<PrepaidTotal> totals) {
    ImmutableMap.Builder<String, Long> out = ImmutableMap.builder();
    totals.forEach(t -> out.put(t.getWorkspace(), t.getTokens()));
    return out.buildKeepingLast();
  }

  static UpstreamEntry encodeEntry(org.goldcrestfall.core.registry.UpstreamEntry e) {
    return UpstreamEntry.newBuilder()
        .setId(e.id())
        .setService(e.service())
        .setAddress(e.address())
        .setZone(e.zone())
        .setState(e.state().ordinal())
        .setSlots(e.slots())
        .setStartedAt(e.startedAtMillis())
        .setSequence(e.sequence())
        .setWarmupMillis(e.warmupMillis())
        .build();
  }

  /** Returns the entry; a state that only a later release knows is decoded as {@code GONE}. */
  static org.goldcrestfall.core.registry.UpstreamEntry decodeEntry(UpstreamEntry e) {
    UpstreamState state =
        Integer.compareUnsigned(e.getState(), STATES.length) < 0
            ? STATES[e.getState()]
            : UpstreamState.GONE;
    return new org.goldcrestfall.core.registry.UpstreamEntry(
        e.getId(),
        e.getService(),
        e.getAddress(),
        e.getZone(),
        state,
        e.getSlots(),
        e.getStartedAt(),
        e.getSequence(),
        e.getWarmupMillis());
  }

  static DaemonEntry encodeDaemon(SiteDaemon d) {
    return DaemonEntry.newBuilder()
        .setHost(d.host())
        .setAddress(d.address())
        .setZone(d.zone())
        .build();
  }

  static SiteDaemon decodeDaemon(DaemonEntry e, boolean control) {
    return new SiteDaemon(e.getHost(), e.getAddress(), e.getZone(), control);
  }

  static void encodeDaemons(DaemonDirectory.Changes changes, SiteUpdate.Builder out) {
    out.setDaemonsChange(changes.lastChange()).setAllDaemons(changes.complete());
    for (SiteDaemon d : changes.present()) {
      if (d.control()) {
        out.addControls(encodeDaemon(d));
      } else {
        out.addRouters(encodeDaemon(d));
      }
    }
    out.addAllRemovedDaemons(changes.removed());
  }

  static DaemonDirectory.Changes decodeDaemons(SiteUpdate update) {
    List<SiteDaemon> present = new ArrayList<>();
    update.getControlsList().forEach(c -> present.add(decodeDaemon(c, true)));
    update.getRoutersList().forEach(r -> present.add(decodeDaemon(r, false)));
    return new DaemonDirectory.Changes(
        update.getAllDaemons(), present, update.getRemovedDaemonsList(), update.getDaemonsChange());
  }
}
