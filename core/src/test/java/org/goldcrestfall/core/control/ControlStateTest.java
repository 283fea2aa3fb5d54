package org.goldcrestfall.core.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.ControlCommand.FinishBooking;
import org.goldcrestfall.core.control.ControlCommand.GrantAllotment;
import org.goldcrestfall.core.control.ControlCommand.SettleRequests;
import org.goldcrestfall.core.control.ControlCommand.StartBooking;
import org.goldcrestfall.core.control.ControlReply.Booked;
import org.goldcrestfall.core.control.ControlReply.Refused;

/**
 * Tests the rules of {@link ControlState} one by one; the property tests combine them with faults.
 */
final class ControlStateTest {

  private final ControlStateHarness group = new ControlStateHarness();

  @Example
  void repeatedOperationReturnsTheFirstReplyAndChangesNothing() {
    group.createWorkspace("hulls", 0);
    ControlCommand plan =
        new ControlCommand.CreatePlan("o1", "ana", new Intent.TopUpBudget("hulls", 50), 5);
    ControlReply first = group.apply(plan);
    assertThat(group.apply(plan)).isEqualTo(first);
    long id = ((ControlReply.Planned) first).plan().id();
    ControlCommand confirm = new ControlCommand.ConfirmPlan("o2", "ana", id, 6);
    ControlReply confirmed = group.apply(confirm);
    group.restoreFromSnapshot();
    assertThat(group.apply(confirm)).isEqualTo(confirmed);
    assertThat(group.apply(plan)).isEqualTo(first);
    assertThat(group.budget("hulls").paidIn()).isEqualTo(50);
    assertRefused(
        group.apply(new ControlCommand.DropPlan("o2", "ana", id, 7)), ErrorKind.OPERATION_REUSED);
    assertRefused(
        group.apply(new ControlCommand.DropPlan("o3", "ana", id, 7)), ErrorKind.PLAN_CLOSED);
  }

  @Example
  void onlyOneOfTwoPlansFromTheSameRevisionIsConfirmed() {
    group.createWorkspace("hulls", 0);
    long first = createPlan("a", "ana", new Intent.TopUpBudget("hulls", 50));
    long second = createPlan("b", "ben", new Intent.TopUpBudget("hulls", 70));
    group.apply(new ControlCommand.ConfirmPlan("c", "ben", second, 0));
    ControlReply refused = group.apply(new ControlCommand.ConfirmPlan("d", "ana", first, 0));
    assertRefused(refused, ErrorKind.PLAN_CONFLICT);
    assertThat(((Refused) refused).message()).contains("budget/hulls").contains("70");
    assertThat(group.budget("hulls").paidIn()).isEqualTo(70);
  }

  private long createPlan(String operation, String operator, Intent intent) {
    ControlReply reply = group.apply(new ControlCommand.CreatePlan(operation, operator, intent, 0));
    return ((ControlReply.Planned) reply).plan().id();
  }

  @Example
  void invalidIntentsAreRefusedWithTheExpectedErrorKind() {
    group.createWorkspace("hulls", 10);
    assertRefused(
        group.planAndConfirm(new Intent.CreateWorkspace("Hulls", "quick", Tradeoff.STRICT)),
        ErrorKind.INVALID_PARAMETER);
    assertRefused(
        group.planAndConfirm(new Intent.CreateWorkspace("a", "slow", Tradeoff.STRICT)),
        ErrorKind.NOT_FOUND);
    assertRefused(
        group.planAndConfirm(new Intent.TopUpBudget("hulls", 0)), ErrorKind.INVALID_PARAMETER);
    assertRefused(
        group.planAndConfirm(new Intent.TopUpBudget("hulls", Long.MAX_VALUE)),
        ErrorKind.INVALID_PARAMETER);
    assertRefused(group.planAndConfirm(new Intent.TopUpBudget("kits", 1)), ErrorKind.NOT_FOUND);
    assertRefused(group.planAndConfirm(new Intent.RevokeKey("hulls", "k1")), ErrorKind.NOT_FOUND);
    assertRefused(
        group.planAndConfirm(new Intent.DefineService("stock", 1, List.of("get"))),
        ErrorKind.INVALID_PARAMETER);
    assertRefused(
        group.planAndConfirm(new Intent.OrderEngine("e1", "load model", "m")),
        ErrorKind.INVALID_PARAMETER);
    assertRefused(
        group.planAndConfirm(new Intent.ReleaseStranded("hulls", new Incarnation("a1", 1))),
        ErrorKind.NOT_FOUND);
  }

  @Example
  void grantIsAppliedOncePerNumberAndLimitedToTheUnallottedTokens() {
    group.createWorkspace("hulls", 100);
    Incarnation router = group.register("a1", "n1");
    ControlReply first = group.apply(new GrantAllotment(router, "hulls", 1, 60, 60, 0));
    assertThat(first).isEqualTo(new ControlReply.Granted(1, 60, 40));
    group.restoreFromSnapshot();
    assertThat(group.apply(new GrantAllotment(router, "hulls", 1, 60, 60, 0))).isEqualTo(first);
    assertThat(group.apply(new GrantAllotment(router, "hulls", 2, 60, 60, 0)))
        .isEqualTo(new ControlReply.Granted(2, 40, 0));
    assertThat(group.state().query(new ControlQuery.Shortages()))
        .isEqualTo(List.of(new BudgetShortage("hulls", 0, 20)));
    assertThat(group.register("a1", "n1")).isEqualTo(router);
    group.register("a1", "n2");
    assertThat(group.budget("hulls").stranded()).isEqualTo(100);
    assertRefused(group.apply(new GrantAllotment(router, "hulls", 3, 1, 1, 0)), ErrorKind.DRAINING);
    group.apply(new ControlCommand.CloseIncarnation(router, Map.of("hulls", 30L), false, 0));
    assertThat(group.budget("hulls").stranded()).isEqualTo(30);
    assertThat(group.budget("hulls").unallotted()).isEqualTo(70);
  }

  @Example
  void requestIsBilledOnceAndTheSecondRouterIsNotCharged() {
    group.createWorkspace("hulls", 100);
    Incarnation a = group.register("a1", "n");
    Incarnation b = group.register("b1", "n");
    group.apply(new GrantAllotment(a, "hulls", 1, 50, 50, 0));
    group.apply(new GrantAllotment(b, "hulls", 1, 50, 50, 0));
    BillingRecord record = record("r1", 20);
    SettleRequests batch = new SettleRequests(a, 1, List.of(record));
    assertThat(group.apply(batch)).isEqualTo(new ControlReply.Settled(1, List.of(true)));
    group.restoreFromSnapshot();
    assertThat(group.apply(batch)).isEqualTo(new ControlReply.Settled(1, List.of(true)));
    assertThat(group.apply(new SettleRequests(b, 1, List.of(record, record("r2", 5)))))
        .isEqualTo(new ControlReply.Settled(1, List.of(false, true)));
    assertThat(group.budget("hulls").settled()).isEqualTo(25);
    assertThat(group.state().query(new ControlQuery.BillingOf("hulls", "r1")))
        .isEqualTo(List.of(record));
  }

  private static BillingRecord record(String id, long tokens) {
    return new BillingRecord("hulls", id, "h", "m", "quick", 1, tokens, tokens, 0);
  }

  @Example
  void delayedCopyOfStartDoesNotRestartAnAttemptThatDidNotRun() {
    group.createWorkspace("hulls", 100);
    Incarnation a = group.register("a1", "n");
    group.apply(new GrantAllotment(a, "hulls", 1, 50, 50, 0));
    StartBooking start = new StartBooking(a, 1, "hulls", "b1", "h", "cedar", 10, 0);
    assertThat(((Booked) group.apply(start)).startedNow()).isTrue();
    assertThat(((Booked) group.apply(start)).startedNow()).isTrue();
    group.apply(finish(a, 1, BookingOutcome.NOT_RUN));
    assertThat(group.budget("hulls").settled()).isZero();
    group.restoreFromSnapshot();
    assertThat(((Booked) group.apply(start)).startedNow()).isFalse();
    StartBooking second = new StartBooking(a, 2, "hulls", "b1", "h", "cedar", 10, 0);
    assertThat(((Booked) group.apply(second)).startedNow()).isTrue();
    // A delayed copy of the first outcome must not refund or reopen the second attempt.
    assertRefused(group.apply(finish(a, 1, BookingOutcome.NOT_RUN)), ErrorKind.NOT_FOUND);
    group.register("a1", "n2");
    StartBooking afterRestart =
        new StartBooking(new Incarnation("a1", 2), 1, "hulls", "b1", "h", "cedar", 10, 0);
    assertThat(((Booked) group.apply(afterRestart)).booking().outcome())
        .isEqualTo(BookingOutcome.UNKNOWN);
    assertThat(group.budget("hulls").settled()).isEqualTo(10);
  }

  @Example
  void delayedCopyOfRefusedStartIsNeitherRunNorCharged() {
    group.createWorkspace("hulls", 100);
    Incarnation a = group.register("a1", "n");
    final Incarnation b = group.register("b1", "n");
    StartBooking start = new StartBooking(a, 1, "hulls", "b1", "h", "cedar", 10, 0);
    assertRefused(group.apply(start), ErrorKind.BUDGET_EXHAUSTED);
    group.apply(new GrantAllotment(a, "hulls", 1, 50, 50, 0));
    group.apply(new GrantAllotment(b, "hulls", 1, 50, 50, 0));
    group.restoreFromSnapshot();
    assertRefused(group.apply(start), ErrorKind.BUDGET_EXHAUSTED);
    group.apply(new StartBooking(b, 1, "hulls", "b1", "h", "cedar", 10, 0));
    StartBooking second = new StartBooking(a, 2, "hulls", "b1", "h", "cedar", 10, 0);
    assertThat(((Booked) group.apply(second)).startedNow()).isFalse();
    group.apply(finish(b, 1, BookingOutcome.NOT_RUN));
    assertThat(((Booked) group.apply(second)).startedNow()).isFalse();
    assertThat(group.budget("hulls").settled()).isZero();
  }

  private static FinishBooking finish(Incarnation router, long attempt, BookingOutcome outcome) {
    return new FinishBooking(router, attempt, "hulls", "b1", outcome, 200, null, null, 0);
  }

  @Example
  void strandedTokensAreReleasedOnlyAfterEveryRouterHasReportedItsTransfers() {
    group.createWorkspace("hulls", 100);
    Incarnation closed = group.register("a1", "n");
    final Incarnation open = group.register("b1", "n");
    group.apply(new GrantAllotment(closed, "hulls", 1, 60, 60, 0));
    group.apply(new ControlCommand.CloseIncarnation(closed, Map.of(), false, 0));
    group.planAndConfirm(new Intent.ReleaseStranded("hulls", closed));
    assertThat(group.budget("hulls").unallotted()).isEqualTo(40);
    group.apply(new ControlCommand.TransferAllotment(closed, open, "hulls", 1, 25));
    group.restoreFromSnapshot();
    group.apply(new ControlCommand.ReportTransfers(open, group.state().lastIndex()));
    assertThat(group.budget("hulls").unallotted()).isEqualTo(75);
    assertThat(group.budget("hulls").outstanding()).isEqualTo(25);
  }

  @Example
  void configurationChangesAfterAnyRetainedRevisionRebuildTheCurrentView() {
    group.createWorkspace("hulls", 5);
    final long revision = group.state().configView().revision();
    ConfigView old = group.state().configView();
    group.planAndConfirm(new Intent.CreateKey("hulls", "k1", "ab".repeat(32)));
    group.planAndConfirm(new Intent.RevokeKey("hulls", "k1"));
    group.planAndConfirm(new Intent.SetLimits("hulls", 5, 6));
    group.restoreFromSnapshot();
    ConfigView view = old;
    for (ConfigChange c : group.state().changesAfter(revision)) {
      view = view.apply(c).apply(c);
    }
    assertThat(view).isEqualTo(group.state().configView());
    for (int i = 0; i <= ConfigHistory.MAX_CHANGES; i++) {
      group.planAndConfirm(new Intent.SetLimits("hulls", i + 1, 6));
    }
    assertThat(group.state().changesAfter(revision)).isNull();
    ConfigChange last = group.state().changesAfter(view.revision() + 2).get(5);
    assertThatThrownBy(() -> old.apply(last)).hasMessageContaining("missing");
  }

  @Example
  void orderUsesTheIndexOfItsConfirmationAsFencingNumberAndIsFinishedOnce() {
    group.planAndConfirm(new Intent.OrderEngine("e1", "load_model", "cedar-7b"));
    long fencing = group.state().lastIndex();
    assertThat(group.state().queuedOrders().get(0).fencing()).isEqualTo(fencing);
    group.apply(new ControlCommand.FinishOrder(fencing, true, "loaded", 9));
    group.apply(new ControlCommand.FinishOrder(fencing, false, "late", 10));
    group.restoreFromSnapshot();
    assertThat(group.state().queuedOrders()).isEmpty();
    assertThat(
            ((EngineOrder) ((List<?>) group.state().query(new ControlQuery.Orders(1))).get(0))
                .state())
        .isEqualTo(EngineOrder.State.DONE);
  }

  private static void assertRefused(ControlReply reply, ErrorKind kind) {
    assertThat(reply).isInstanceOf(Refused.class);
    assertThat(((Refused) reply).kind()).isEqualTo(kind);
  }
}
