package org.goldcrestfall.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.goldcrestfall.core.common.ErrorKind;

/** Tests that operators lose no updates and that a repeated operation is not applied twice. */
final class OperatorPropertyTest {

  private final ControlStateHarness group = new ControlStateHarness();
  private final Map<ControlCommand, ControlReply> firstReplies = new HashMap<>();
  private final List<ControlCommand> sent = new ArrayList<>();
  private final List<Long> planIds = new ArrayList<>();

  @Property(tries = 300, seed = "20261206")
  void confirmedChangesAreSequentialAndRepeatedOperationsReturnTheFirstReply(
      @ForAll @Size(min = 20, max = 120) List<Integer> steps) {
    // jqwik runs all tries on one instance, so each try needs a fresh one for its state.
    new OperatorPropertyTest().run(steps);
  }

  private void run(List<Integer> steps) {
    group.createWorkspace("hulls", 0);
    group.createWorkspace("kits", 0);
    int operation = 0;
    for (int step : steps) {
      int choice = Math.floorMod(step, 1 << 20);
      String operator = choice % 2 == 0 ? "ana" : "ben";
      String workspace = choice / 2 % 2 == 0 ? "hulls" : "kits";
      operation++;
      switch (choice / 4 % 5) {
        case 0, 1 -> {
          Intent intent =
              choice % 3 == 0
                  ? new Intent.SetLimits(workspace, choice % 50, choice % 7)
                  : new Intent.TopUpBudget(workspace, 1 + choice % 90);
          send(new ControlCommand.CreatePlan("o" + operation, operator, intent, 0));
        }
        case 2 ->
            send(
                new ControlCommand.ConfirmPlan(
                    "o" + operation, operator, recentPlanId(choice / 20), step));
        case 3 -> {
          if (!sent.isEmpty()) {
            send(sent.get(choice / 20 % sent.size()));
          }
        }
        default -> {
          if (choice % 3 == 0) {
            send(
                new ControlCommand.DropPlan(
                    "o" + operation, operator, recentPlanId(choice / 20), 0));
          } else {
            group.restoreFromSnapshot();
          }
        }
      }
      checkHistory("hulls");
      checkHistory("kits");
    }
  }

  private long recentPlanId(int choice) {
    return planIds.isEmpty()
        ? 1
        : planIds.get(planIds.size() - 1 - choice % Math.min(4, planIds.size()));
  }

  private void send(ControlCommand command) {
    ControlReply reply = group.apply(command);
    ControlReply first = firstReplies.putIfAbsent(command, reply);
    assertThat(reply).as("reply to %s", command).isEqualTo(first == null ? reply : first);
    sent.add(command);
    if (command instanceof ControlCommand.CreatePlan
        && first == null
        && reply instanceof ControlReply.Planned p) {
      planIds.add(p.plan().id());
    }
    if (reply instanceof ControlReply.Refused r) {
      assertThat(r.kind())
          .isIn(ErrorKind.PLAN_CONFLICT, ErrorKind.PLAN_CLOSED, ErrorKind.INVALID_PARAMETER);
    }
  }

  private void checkHistory(String workspace) {
    for (String object : List.of("budget/" + workspace, "workspace/" + workspace)) {
      String state = null;
      List<?> newest = (List<?>) group.state().query(new ControlQuery.Audit(object, 1_000));
      for (int i = newest.size() - 1; i >= 0; i--) {
        AuditEntry e = (AuditEntry) newest.get(i);
        if (e.action().equals("confirm")) {
          assertThat(state == null || e.before().equals(state))
              .as(
                  "%s was changed from %s, but its previous value was %s",
                  object, e.before(), state)
              .isTrue();
          state = e.after();
        }
      }
      if (state != null && object.startsWith("budget/")) {
        assertThat(state).isEqualTo("{\"paidIn\":" + group.budget(workspace).paidIn() + "}");
      }
    }
  }
}
