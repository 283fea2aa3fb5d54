package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
import com.google.common.primitives.Longs;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.daemon.control.StateMachine;

/**
 * The site's replicated state machine. The configuration and the suspect parts may be read from any
 * thread.
 */
public final class SiteStateMachine implements StateMachine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Query for the compressed document of the configuration in force. */
  static final byte[] READ_CONFIGURATION_DOCUMENT = new byte[0];

  /** Query for the log index of the configuration in force, as 8 bytes in big-endian order. */
  static final byte[] READ_CONFIGURATION_INDEX = new byte[1];

  private static final int LEDGER_LOG_INTERVAL_SECONDS = 2;

  private final SiteState state = new SiteState();
  private volatile SiteState.StoredConfiguration configuration = state.configuration();
  private volatile QuarantineView quarantine = state.quarantine();
  private volatile Runnable changeListener = () -> {};

  /**
   * Sets the action that runs on the consensus thread when another configuration is in force or the
   * suspect parts have changed.
   */
  void onChange(Runnable action) {
    changeListener = action;
  }

  /**
   * Returns the configuration in force according to the log entries that this member has applied.
   */
  SiteState.StoredConfiguration configuration() {
    return configuration;
  }

  /** Returns the suspect parts according to the log entries that this member has applied. */
  QuarantineView quarantine() {
    return quarantine;
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    SiteState.Reply reply = new SiteState.Reply(configuration.version(), List.of());
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
    logger.atInfo().atMostEvery(LEDGER_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "prepaid: %s tokens reclaimed; available/total tokens of each workspace: %s",
        state.reclaimedTokens(), LazyArgs.lazy(this::describeLedger));
    return SiteCodec.encodeReply(reply);
  }

  private String describeLedger() {
    StringBuilder out = new StringBuilder();
    state
        .configuration()
        .totals()
        .forEach(
            (w, total) ->
                out.append(w)
                    .append(' ')
                    .append(state.available(w))
                    .append('/')
                    .append(total)
                    .append(' '));
    return out.toString();
  }

  private void publishChanges() {
    boolean configurationChanged = configuration != state.configuration();
    if (!configurationChanged && quarantine == state.quarantine()) {
      return;
    }
    configuration = state.configuration();
    quarantine = state.quarantine();
    if (configurationChanged) {
      logger.atInfo().log(
          "site: configuration version %s is in force since index %s",
          configuration.version(), configuration.index());
    }
    changeListener.run();
  }

  @Override
  public byte[] query(byte[] query) {
    return query.length == 0
        ? state.configuration().document()
        : Longs.toByteArray(state.configuration().index());
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
