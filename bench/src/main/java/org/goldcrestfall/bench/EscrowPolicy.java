package org.goldcrestfall.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.goldcrestfall.bench.BudgetTrace.Request;
import org.goldcrestfall.bench.BudgetTrace.TopUp;
import org.goldcrestfall.core.budget.ReserveShare;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.BudgetView;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.ControlState;
import org.goldcrestfall.core.control.Intent;
import org.goldcrestfall.core.control.Tradeoff;

/**
 * The policy of the daemon: the control group grants allotments to the routers, which keep them in
 * their ledgers. Uses the daemon's control state and ledgers over a simulated network.
 */
final class EscrowPolicy implements BudgetPolicy {

  /** Latency of the network between a router and the control group, in one direction. */
  private static final long CONTROL_ONE_WAY_MILLIS = 2;

  /** Time until a majority of the control group has synced a command to disk. */
  private static final long COMMIT_MILLIS = 4;

  private final SimulatedEventLoop loop;
  private final ControlState controlState = new ControlState();
  private final EscrowRouter[] routers = new EscrowRouter[BudgetTrace.ROUTERS];
  private final boolean[] partitioned = new boolean[BudgetTrace.ROUTERS];

  /** Watermark of each workspace, by the number of the router that has written it. */
  private final Map<Integer, Map<String, Long>> watermarksOnDisk = new HashMap<>();

  /** Last number given to an operation id or a registration nonce. */
  private int lastOperation;

  EscrowPolicy(SimulatedEventLoop loop, Tradeoff tradeoff) {
    this.loop = loop;
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      confirm(new Intent.CreateWorkspace(BudgetTrace.workspace(w), "quick", tradeoff));
    }
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      start(i, tradeoff);
    }
  }

  private ControlReply apply(ControlCommand command) {
    return controlState.apply(controlState.lastIndex() + 1, command);
  }

  private void confirm(Intent intent) {
    lastOperation++;
    String id = "o" + lastOperation;
    ControlReply reply = apply(new ControlCommand.CreatePlan(id, "bench", intent, 0));
    long plan = ((ControlReply.Planned) reply).plan().id();
    apply(new ControlCommand.ConfirmPlan(id + "c", "bench", plan, 0));
  }

  private void start(int router, Tradeoff tradeoff) {
    lastOperation++;
    String host = "a" + router;
    ControlReply reply =
        apply(new ControlCommand.RegisterHost(host, "z", "", "n" + lastOperation, true, false, 0));
    Incarnation self = new Incarnation(host, ((ControlReply.Registered) reply).boot());
    boolean hasDisk = router < BudgetTrace.ROUTERS_WITH_DISK;
    if (hasDisk && self.boot() > 1) {
      closeIncarnation(
          new Incarnation(host, self.boot() - 1), watermarksOnDisk.getOrDefault(router, Map.of()));
    }
    watermarksOnDisk.put(router, new HashMap<>());
    routers[router] =
        new EscrowRouter(
            router, self, tradeoff, loop, this, hasDisk ? watermarksOnDisk.get(router) : null);
    routers[router].tick();
  }

  private void closeIncarnation(Incarnation previous, Map<String, Long> watermarks) {
    apply(new ControlCommand.CloseIncarnation(previous, watermarks, true, 0));
  }

  /**
   * Sends a command of a router to the control group. The command or its reply is lost if the
   * router is cut off when it sends the command or when the reply arrives.
   */
  void send(EscrowRouter router, ControlCommand command) {
    if (partitioned[router.number()]) {
      return;
    }
    loop.scheduleAfter(
        CONTROL_ONE_WAY_MILLIS,
        () -> {
          ControlReply reply = apply(command);
          loop.scheduleAfter(
              COMMIT_MILLIS + CONTROL_ONE_WAY_MILLIS,
              () -> {
                if (!partitioned[router.number()] && routers[router.number()] == router) {
                  router.handleReply(command, reply);
                }
              });
        });
  }

  /**
   * Returns the budget shortages of the control group, or null if the router is cut off from it.
   */
  List<?> recalls(EscrowRouter router) {
    return partitioned[router.number()]
        ? null
        : (List<?>) controlState.query(new ControlQuery.Shortages());
  }

  /** Returns the reserve share of a router, whose zone is its number modulo 3. */
  static double reserveShare(int router) {
    List<ReserveShare.Router> routers = new ArrayList<>();
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      routers.add(new ReserveShare.Router("a" + i, "z" + i % 3, i < BudgetTrace.ROUTERS_WITH_DISK));
    }
    return ReserveShare.of("a" + router, routers);
  }

  /** Returns the other live routers on the same side of the partition. */
  List<EscrowRouter> reachablePeers(EscrowRouter router) {
    List<EscrowRouter> result = new ArrayList<>();
    for (int k = 1; k < BudgetTrace.ROUTERS; k++) {
      int i = (router.number() + k) % BudgetTrace.ROUTERS;
      if (routers[i] != null && partitioned[i] == partitioned[router.number()]) {
        result.add(routers[i]);
      }
    }
    return result;
  }

  boolean isPartitioned(EscrowRouter router) {
    return partitioned[router.number()];
  }

  @Override
  public void startRequest(int router, Request r, Consumer<Boolean> decision) {
    routers[router].startRequest(r, decision);
  }

  @Override
  public void finishRequest(int router, Request r) {
    routers[router].finishRequest(r);
  }

  @Override
  public void topUp(TopUp t) {
    confirm(new Intent.TopUpBudget(BudgetTrace.workspace(t.workspace()), t.tokens()));
  }

  @Override
  public void crash(int router) {
    if (routers[router] != null) {
      routers[router].crash();
      routers[router] = null;
    }
  }

  @Override
  public void restart(int router) {
    // A host that is cut off cannot register, so it tries again every second.
    if (partitioned[router]) {
      loop.scheduleAfter(1_000, () -> restart(router));
    } else if (routers[router] == null) {
      start(router, routerTradeoff());
    }
  }

  private Tradeoff routerTradeoff() {
    return controlState.configView().workspaces().get(BudgetTrace.workspace(0)).tradeoff();
  }

  @Override
  public boolean isReady(int router) {
    return routers[router] != null;
  }

  @Override
  public void setPartitioned(int router, boolean isPartitioned) {
    partitioned[router] = isPartitioned;
  }

  @Override
  public String diagnostics() {
    StringBuilder report = new StringBuilder();
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      BudgetView v =
          (BudgetView) controlState.query(new ControlQuery.Budget(BudgetTrace.workspace(w)));
      report.append(
          String.format(
              "  %s: paid in %d, settled %d, outstanding %d, stranded %d, unallotted %d%n",
              v.workspace(),
              v.paidIn(),
              v.settled(),
              v.outstanding(),
              v.stranded(),
              v.unallotted()));
    }
    return report.toString();
  }
}
