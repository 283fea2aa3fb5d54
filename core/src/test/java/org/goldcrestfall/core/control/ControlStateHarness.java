package org.goldcrestfall.core.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.goldcrestfall.core.common.Incarnation;

/**
 * A {@link ControlState} for tests. Commands, replies and snapshots are converted to JSON and back,
 * so tests cover their serialized form.
 */
public final class ControlStateHarness {

  private static final ObjectMapper JSON = new ObjectMapper();

  private ControlState state = new ControlState();
  private int operations;

  /** Applies a command at the next log index. */
  public ControlReply apply(ControlCommand command) {
    ControlCommand copy = copy(command, ControlCommand.class);
    return copy(state.apply(state.lastIndex() + 1, copy), ControlReply.class);
  }

  /** Replaces the state with one restored from its snapshot, as a restart does. */
  public void restoreFromSnapshot() {
    state = ControlState.restore(copy(state.snapshot(), ControlSnapshot.class));
  }

  /** Returns the current state; {@link #restoreFromSnapshot} replaces it. */
  public ControlState state() {
    return state;
  }

  /** Creates a plan for an intent and confirms it; returns the refusal if the intent is refused. */
  public ControlReply planAndConfirm(Intent intent) {
    operations++;
    ControlReply reply =
        apply(new ControlCommand.CreatePlan("plan-" + operations, "ana", intent, 1));
    return reply instanceof ControlReply.Planned p
        ? apply(new ControlCommand.ConfirmPlan("ok-" + operations, "ana", p.plan().id(), 2))
        : reply;
  }

  /** Creates a workspace with a budget in tokens. */
  public void createWorkspace(String name, long tokens) {
    planAndConfirm(new Intent.CreateWorkspace(name, "standard", Tradeoff.AVAILABLE));
    if (tokens > 0) {
      planAndConfirm(new Intent.TopUpBudget(name, tokens));
    }
  }

  /** Registers the next incarnation of a host. */
  public Incarnation register(String host, String nonce) {
    ControlReply reply =
        apply(
            new ControlCommand.RegisterHost(
                host, "zone-a", "127.0.0.1:9080", nonce, true, false, 0));
    return new Incarnation(host, ((ControlReply.Registered) reply).boot());
  }

  /** Returns the budget of a workspace. */
  public BudgetView budget(String workspace) {
    return (BudgetView) state.query(new ControlQuery.Budget(workspace));
  }

  private static <T> T copy(T value, Class<T> type) {
    try {
      return JSON.readValue(JSON.writeValueAsString(value), type);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
