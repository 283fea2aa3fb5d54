package org.goldcrestfall.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.List;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.ControlSnapshot;
import org.goldcrestfall.core.control.ControlState;
import org.goldcrestfall.core.control.EngineOrder;
import org.goldcrestfall.daemon.http.Json;
import org.goldcrestfall.daemon.peer.ConfigSource;

/**
 * Applies the commands of the replicated log to a {@link ControlState}; commands, queries, replies
 * and snapshots are JSON. Thread-safe, because the configuration and the orders are read from other
 * threads.
 */
public final class ControlStateMachine implements StateMachine, ConfigSource {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private ControlState state = new ControlState();
  private volatile ConfigView view = ConfigView.EMPTY;

  /** The result of the workspaces query: the configuration and its revision. */
  public record Configuration(
      long revision,
      Collection<ConfigView.Workspace> workspaces,
      Collection<ConfigView.PatienceClass> patienceClasses,
      Collection<ConfigView.Service> services) {}

  @Override
  public synchronized byte[] apply(long index, byte[] command) {
    ControlReply reply;
    try {
      reply = state.apply(index, Json.mapper().readValue(command, ControlCommand.class));
    } catch (IOException e) {
      // All members reject the same bytes, so their states stay identical.
      logger.atSevere().log(
          "control: rejected log entry %s, which is not a valid command: %s",
          index, e.getMessage());
      reply = new ControlReply.Refused(ErrorKind.INVALID_PARAMETER, "The command is not valid.");
    }
    view = state.configView();
    return Json.bytes(reply);
  }

  @Override
  public synchronized byte[] query(byte[] query) {
    try {
      ControlQuery q = Json.mapper().readValue(query, ControlQuery.class);
      return Json.bytes(q instanceof ControlQuery.Workspaces ? configuration() : state.query(q));
    } catch (IOException e) {
      logger.atWarning().log("control: cannot parse a query: %s", e.getMessage());
      return Json.bytes(null);
    }
  }

  private Configuration configuration() {
    ConfigView v = state.configView();
    return new Configuration(
        v.revision(), v.workspaces().values(), v.classes().values(), v.services().values());
  }

  @Override
  public synchronized byte[] snapshot() {
    return Json.bytes(state.snapshot());
  }

  @Override
  public synchronized void restore(byte[] snapshot) {
    try {
      state = ControlState.restore(Json.mapper().readValue(snapshot, ControlSnapshot.class));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("snapshot is not valid JSON of the control state", e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    view = state.configView();
  }

  @Override
  public ConfigView view() {
    return view;
  }

  @Override
  public synchronized List<ConfigChange> changesAfter(long revision) {
    return state.changesAfter(revision);
  }

  /** Returns the orders to engines that have no recorded outcome yet. */
  public synchronized List<EngineOrder> queuedOrders() {
    return state.queuedOrders();
  }
}
