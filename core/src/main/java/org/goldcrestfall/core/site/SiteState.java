package org.goldcrestfall.core.site;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.prepaid.PrepaidLedger;
import org.goldcrestfall.core.quarantine.CrashReport;
import org.goldcrestfall.core.quarantine.LegacyPartQuarantine;
import org.goldcrestfall.core.quarantine.PartQuarantine;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.warmup.RouterNumbers;

/** The replicated state machine of a site. It is deterministic and not thread-safe. */
public final class SiteState {

  /**
   * The configuration in force.
   *
   * @param version the operator's number, which may be 0 or negative
   * @param index the log index at which it came into force; at least 1
   */
  public record StoredConfiguration(
      long version, long index, byte[] document, ImmutableMap<String, Long> totals) {}

  /**
   * The reply to a command.
   *
   * @param version the version in force after the command; empty without a configuration
   * @param allotments the allotments that the command renewed
   * @param proposedAt when the leader proposed the command, if it renewed allotments
   */
  public record Reply(
      OptionalLong version, List<PrepaidLedger.Allotment> allotments, LeaderTime proposedAt) {

    /** Creates the reply to a command that renews no allotments. */
    public static Reply ofVersion(OptionalLong version) {
      return new Reply(version, List.of(), LeaderTime.NONE);
    }
  }

  /**
   * The prompt parts under which upstreams crashed, in a snapshot.
   *
   * @param legacyReports reports that the group has committed before it ran the protocol version
   *     {@link org.goldcrestfall.core.consensus.ProtocolVersion#COUNTED_LOSSES}
   */
  public record QuarantineSnapshot(
      List<CrashReport> legacyReports,
      List<PartQuarantine.CrashTime> crashes,
      List<PartQuarantine.PartState> parts,
      QuarantineView view) {

    /** The snapshot before any crash. */
    public static final QuarantineSnapshot EMPTY =
        new QuarantineSnapshot(List.of(), List.of(), List.of(), QuarantineView.EMPTY);
  }

  private final PrepaidLedger ledger = new PrepaidLedger();
  private final PartQuarantine quarantine = new PartQuarantine();
  private final LegacyPartQuarantine legacyQuarantine = new LegacyPartQuarantine();
  private Optional<StoredConfiguration> configuration = Optional.empty();
  private QuarantineView quarantineView = QuarantineView.EMPTY;
  private EvacuatedZones evacuatedZones = EvacuatedZones.NONE;
  private RouterNumbers routerNumbers = RouterNumbers.NONE;

  /** Applies the command at a log index and returns the reply. */
  public Reply apply(long index, SiteCommand command) {
    if (command instanceof SiteCommand.PutConfiguration c) {
      if (supersedesConfiguration(c)) {
        configuration =
            Optional.of(new StoredConfiguration(c.version(), index, c.document(), c.totals()));
        ledger.setTotals(c.totals());
      }
      return Reply.ofVersion(version());
    }
    if (command instanceof SiteCommand.ReportAnswers c) {
      boolean adopted = adoptLegacyQuarantine();
      if (quarantine.update(c.lost(), c.sound(), c.sentAtMillis()) || adopted) {
        quarantineView = QuarantineView.of(index, quarantine.suspects());
      }
      return Reply.ofVersion(version());
    }
    if (command instanceof SiteCommand.ReportCrashes c) {
      if (legacyQuarantine.update(c.lost(), c.answered(), c.sentAtMillis())) {
        quarantineView = QuarantineView.of(index, legacyQuarantine.suspects());
      }
      return Reply.ofVersion(version());
    }
    if (command instanceof SiteCommand.SetEvacuation c) {
      evacuatedZones = evacuatedZones.after(index, c);
      return Reply.ofVersion(version());
    }
    if (command instanceof SiteCommand.RegisterRouter c) {
      routerNumbers = routerNumbers.with(index, c.host());
      return Reply.ofVersion(version());
    }
    SiteCommand.RenewAllotments c = (SiteCommand.RenewAllotments) command;
    List<PrepaidLedger.Allotment> allotments =
        ledger.renew(c.router(), c.number(), c.times(), c.demands(), c.proposedAt(), c.rule());
    return new Reply(version(), allotments, c.proposedAt());
  }

  /** Takes over what was found before the group ran this protocol; returns whether there is any. */
  private boolean adoptLegacyQuarantine() {
    if (legacyQuarantine.isEmpty()) {
      return false;
    }
    quarantine.adopt(legacyQuarantine.reports(), legacyQuarantine.suspects());
    legacyQuarantine.restore(List.of(), List.of());
    return true;
  }

  /**
   * Returns whether a configuration is the first one or has a higher version than the stored one.
   */
  private boolean supersedesConfiguration(SiteCommand.PutConfiguration command) {
    OptionalLong stored = version();
    return stored.isEmpty() || command.version() > stored.getAsLong();
  }

  /** Returns the version of the configuration in force; empty without a configuration. */
  public OptionalLong version() {
    return configuration.stream().mapToLong(StoredConfiguration::version).findFirst();
  }

  /** Returns the configuration in force; empty until the first one is applied. */
  public Optional<StoredConfiguration> configuration() {
    return configuration;
  }

  /** Returns the prepaid totals of the configuration in force; empty without a configuration. */
  public ImmutableMap<String, Long> prepaidTotals() {
    return configuration.map(StoredConfiguration::totals).orElse(ImmutableMap.of());
  }

  /** Returns the prompt parts under which upstreams have crashed. */
  public QuarantineView quarantine() {
    return quarantineView;
  }

  /** Returns the availability zones whose upstreams get no new requests. */
  public EvacuatedZones evacuatedZones() {
    return evacuatedZones;
  }

  /** Returns the numbers of all registered routers. */
  public RouterNumbers routerNumbers() {
    return routerNumbers;
  }

  /** Returns what is known of crashes and prompt parts, for a snapshot. */
  public QuarantineSnapshot quarantineSnapshot() {
    return new QuarantineSnapshot(
        legacyQuarantine.reports(), quarantine.crashes(), quarantine.parts(), quarantineView);
  }

  /** Returns where the prepaid tokens of a workspace are. */
  public PrepaidLedger.Distribution prepaidTokens(String workspace) {
    return ledger.distribution(workspace);
  }

  /** Sets the receiver of the ends of router incarnations that held prepaid tokens. */
  public void onRouterClosure(Consumer<PrepaidLedger.Closure> listener) {
    ledger.onClosure(listener);
  }

  /**
   * Returns the number of prepaid tokens reclaimed from killed routers since the process started.
   */
  public long reclaimedTokens() {
    return ledger.reclaimed();
  }

  /** Returns the totals of all router incarnations, for a snapshot. */
  public List<PrepaidLedger.IncarnationTotals> allotments() {
    return ledger.routers();
  }

  /** Replaces the state by that of a snapshot. */
  public void restore(
      Optional<StoredConfiguration> stored,
      List<PrepaidLedger.IncarnationTotals> allotments,
      QuarantineSnapshot suspects,
      EvacuatedZones evacuated,
      RouterNumbers numbers) {
    configuration = stored;
    ledger.setTotals(prepaidTotals());
    ledger.restore(allotments);
    quarantine.restore(suspects.crashes(), suspects.parts());
    // The protocol of the group decides which rule the suspect parts belong to.
    boolean isLegacy = quarantine.isEmpty();
    legacyQuarantine.restore(
        suspects.legacyReports(), isLegacy ? suspects.view().parts().values().asList() : List.of());
    quarantineView = suspects.view();
    evacuatedZones = evacuated;
    routerNumbers = numbers;
  }
}
