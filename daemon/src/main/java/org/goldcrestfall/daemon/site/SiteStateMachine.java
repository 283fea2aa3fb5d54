package org.goldcrestfall.daemon.site;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import com.google.common.primitives.Longs;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.prepaid.PrepaidLedger;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.site.EvacuatedZones;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.core.warmup.RouterNumbers;
import org.goldcrestfall.daemon.control.StateMachine;

/**
 * The site's replicated state machine. The configuration, the suspect parts, the evacuated zones
 * and the report of prepaid tokens may be read from any thread.
 */
public final class SiteStateMachine implements StateMachine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Query for the compressed document of the configuration in force. The reply has no bytes without
   * a configuration; a compressed document always has some.
   */
  static final byte[] READ_CONFIGURATION_DOCUMENT = new byte[0];

  /** Query for the log index of the last published change, as 8 bytes in big-endian order. */
  static final byte[] READ_LAST_CHANGE_INDEX = new byte[1];

  private static final byte[] NO_CONFIGURATION_DOCUMENT = new byte[0];

  private static final int LEDGER_REPORT_INTERVAL_MILLIS = 2_000;

  private final SiteState state = new SiteState();
  private final MillisClock clock = MillisClock.hostMonotonic();
  private final MillisClock wallClock = MillisClock.utc();

  /** Identifies the clocks of this process in {@link LeaderTime}. */
  private final long processId = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);

  private long ledgerReportedAtMillis = -LEDGER_REPORT_INTERVAL_MILLIS;
  private volatile ImmutableMap<String, PrepaidLedger.Distribution> prepaidTokens =
      ImmutableMap.of();
  private volatile Optional<SiteState.StoredConfiguration> configuration = state.configuration();
  private volatile QuarantineView quarantine = state.quarantine();
  private volatile EvacuatedZones evacuatedZones = state.evacuatedZones();
  private volatile RouterNumbers routerNumbers = state.routerNumbers();
  private volatile Runnable changeListener = () -> {};

  /** Creates the state machine without a configuration. */
  public SiteStateMachine() {
    state.onRouterClosure(SiteStateMachine::logClosure);
  }

  private static void logClosure(PrepaidLedger.Closure closure) {
    PrepaidLedger.WorkspaceTotals t = closure.totals();
    logger.atInfo().log(
        "prepaid: incarnation %s has ended; workspace %s: %s tokens granted, %s returned,"
            + " %s opened, %s of them returned, %s held unused at its last report, %s reclaimed",
        closure.router(),
        t.workspace(),
        t.grantedTotal(),
        t.returnedTotal(),
        t.openedTotal(),
        t.openReturnedTotal(),
        t.held(),
        closure.reclaimed());
  }

  /** Returns where the prepaid tokens of each workspace were at the last report. */
  public ImmutableMap<String, PrepaidLedger.Distribution> prepaidTokens() {
    return prepaidTokens;
  }

  /**
   * Sets the action that runs on the consensus thread when another configuration is in force, or
   * the suspect parts or the evacuated zones have changed.
   */
  void onChange(Runnable action) {
    changeListener = action;
  }

  /**
   * Returns the configuration in force according to the log entries that this member has applied;
   * empty until the first one is applied.
   */
  Optional<SiteState.StoredConfiguration> configuration() {
    return configuration;
  }

  /** Returns the suspect parts according to the log entries that this member has applied. */
  QuarantineView quarantine() {
    return quarantine;
  }

  /** Returns the evacuated zones according to the log entries that this member has applied. */
  EvacuatedZones evacuatedZones() {
    return evacuatedZones;
  }

  /** Returns the routers' numbers according to the log entries that this member has applied. */
  RouterNumbers routerNumbers() {
    return routerNumbers;
  }

  /** Returns the log index of the last published change that this member has applied, or 0. */
  long lastChangeIndex() {
    return Longs.max(
        configuration.map(SiteState.StoredConfiguration::index).orElse(0L),
        quarantine.index(),
        evacuatedZones.index(),
        routerNumbers.index());
  }

  @Override
  public byte[] stampProposal(byte[] command, int protocol) {
    long now = clock.nowMillis();
    return SiteCodec.appendProposal(
        command, new LeaderTime(processId, now, wallClock.nowMillis() - now), protocol);
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    SiteState.Reply reply = SiteState.Reply.ofVersion(state.version());
    try {
      SiteCommand decoded = SiteCodec.decodeCommand(command);
      if (decoded != null) {
        reply = state.apply(index, decoded);
      }
    } catch (InvalidProtocolBufferException e) {
      // Every member ignores the same invalid command, so their states stay equal.
      logger.atSevere().log(
          "site: log entry %s cannot be decoded as a command: %s", index, e.getMessage());
    }
    publishChanges();
    reportLedger();
    return SiteCodec.encodeReply(reply);
  }

  private void reportLedger() {
    long now = clock.nowMillis();
    if (now < ledgerReportedAtMillis + LEDGER_REPORT_INTERVAL_MILLIS) {
      return;
    }
    ledgerReportedAtMillis = now;
    ImmutableMap.Builder<String, PrepaidLedger.Distribution> tokens = ImmutableMap.builder();
    StringBuilder description = new StringBuilder();
    for (String workspace : state.prepaidTotals().keySet()) {
      PrepaidLedger.Distribution d = state.prepaidTokens(workspace);
      tokens.put(workspace, d);
      description.append(
          String.format(
              " %s %d/%d/%d/%d", workspace, d.available(), d.held(), d.stranded(), d.total()));
    }
    prepaidTokens = tokens.buildOrThrow();
    logger.atInfo().log(
        "prepaid: %s tokens reclaimed; available/held/stranded/total tokens of each workspace:%s",
        state.reclaimedTokens(), description);
  }

  private void publishChanges() {
    // Routers get their numbers with their next watch, so this alone answers none.
    routerNumbers = state.routerNumbers();
    boolean configurationChanged = configuration != state.configuration();
    boolean evacuationChanged = evacuatedZones != state.evacuatedZones();
    if (!configurationChanged && !evacuationChanged && quarantine == state.quarantine()) {
      return;
    }
    configuration = state.configuration();
    quarantine = state.quarantine();
    evacuatedZones = state.evacuatedZones();
    if (evacuationChanged) {
      logger.atInfo().log(
          "site: zones %s are evacuated since index %s",
          evacuatedZones.zones(), evacuatedZones.index());
    }
    if (configurationChanged) {
      configuration.ifPresent(
          c ->
              logger.atInfo().log(
                  "site: configuration version %s is in force since index %s",
                  c.version(), c.index()));
    }
    changeListener.run();
  }

  @Override
  public byte[] query(byte[] query) {
    return query.length == 0
        ? state
            .configuration()
            .map(SiteState.StoredConfiguration::document)
            .orElse(NO_CONFIGURATION_DOCUMENT)
        : Longs.toByteArray(lastChangeIndex());
  }

  @Override
  public byte[] snapshot() {
    return SiteCodec.encodeSnapshot(state);
  }

  @Override
  public void restore(byte[] snapshot) {
    try {
      SiteCodec.restoreSnapshot(state, snapshot);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("site snapshot cannot be decoded", e);
    }
    publishChanges();
  }
}
