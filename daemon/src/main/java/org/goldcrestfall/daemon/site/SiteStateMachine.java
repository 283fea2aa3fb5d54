package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
import com.google.common.primitives.Longs;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.core.site.SiteState;
import org.goldcrestfall.daemon.control.StateMachine;

/** The site's state behind the replicated log. The configuration may be read from any thread. */
public final class SiteStateMachine implements StateMachine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Asks for the document of the configuration in force, compressed. */
  static final byte[] READ_DOCUMENT = new byte[0];

  /** Asks for the log index of the configuration in force, as 8 bytes. */
  static final byte[] READ_INDEX = new byte[1];

  private static final int LEDGER_LOG_SECONDS = 2;

  private final SiteState state = new SiteState();
  private volatile SiteState.StoredConfiguration configuration = state.configuration();
  private volatile Runnable listener = () -> {};

  /** Sets what is called on the consensus thread when another configuration is in force. */
  void onConfiguration(Runnable changed) {
    listener = changed;
  }

  /** Returns the configuration as far as this member has applied the log. */
  SiteState.StoredConfiguration configuration() {
    return configuration;
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
      // Every member refuses the same bytes, so the states stay equal.
      logger.atSevere().log("site: entry %s is not a command: %s", index, e.getMessage());
    }
    publish();
    logger.atInfo().atMostEvery(LEDGER_LOG_SECONDS, TimeUnit.SECONDS).log(
        "prepaid: %s tokens reclaimed; available of total by workspace: %s",
        state.reclaimedTokens(), LazyArgs.lazy(this::ledgerText));
    return SiteCodec.encodeReply(reply);
  }

  private String ledgerText() {
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

  private void publish() {
    if (configuration == state.configuration()) {
      return;
    }
    configuration = state.configuration();
    logger.atInfo().log(
        "site: configuration version %s is in force at index %s",
        configuration.version(), configuration.index());
    listener.run();
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
      throw new IllegalArgumentException("the snapshot is not valid", e);
    }
    publish();
  }
}
