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

/** The system's own way: the control state and the routers' ledgers, over a simulated network. */
final class EscrowPolicy implements BudgetPolicy {

  /** One way to the control group; a commit adds the sync of a majority. */
  private static final long CONTROL_MILLIS = 2;

  private static final long COMMIT_MILLIS = 4;

  private final EventLoop loop;
  private final ControlState state = new ControlState();
  private final EscrowRouter[] routers = new EscrowRouter[BudgetTrace.ROUTERS];
  private final boolean[] cut = new boolean[BudgetTrace.ROUTERS];
  private final Map<Integer, Map<String, Long>> disks = new HashMap<>();
  private int registrations;

  EscrowPolicy(EventLoop loop, Tradeoff tradeoff) {
    this.loop = loop;
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      confirm(new Intent.CreateWorkspace(BudgetTrace.workspace(w), "quick", tradeoff));
    }
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      start(i, tradeoff);
    }
  }

  private ControlReply apply(ControlCommand command) {
    return state.apply(state.lastIndex() + 1, command);
  }

  private void confirm(Intent intent) {
    registrations++;
    String id = "o" + registrations;
    ControlReply reply = apply(new ControlCommand.CreatePlan(id, "bench", intent, 0));
    long plan = ((ControlReply.Planned) reply).plan().id();
    apply(new ControlCommand.ConfirmPlan(id + "c", "bench", plan, 0));
  }

  private void start(int i, Tradeoff tradeoff) {
    registrations++;
    String host = "a" + i;
    ControlReply reply =
        apply(new ControlCommand.RegisterHost(host, "z", "", "n" + registrations, true, false, 0));
    Incarnation self = new Incarnation(host, ((ControlReply.Registered) reply).boot());
    boolean disk = i < BudgetTrace.ROUTERS_WITH_DISK;
    if (disk && self.boot() > 1) {
      proveUse(new Incarnation(host, self.boot() - 1), disks.getOrDefault(i, Map.of()));
    }
    disks.put(i, new HashMap<>());
    routers[i] = new EscrowRouter(i, self, tradeoff, loop, this, disk ? disks.get(i) : null);
    routers[i].tick();
  }

  private void proveUse(Incarnation old, Map<String, Long> marks) {
    apply(new ControlCommand.CloseIncarnation(old, marks, true, 0));
  }

  /** Sends a command of a router to the control group. */
  void send(EscrowRouter from, ControlCommand command) {
    if (cut[from.number()]) {
      return;
    }
    loop.after(
        CONTROL_MILLIS,
        () -> {
          ControlReply reply = apply(command);
          loop.after(
              COMMIT_MILLIS + CONTROL_MILLIS,
              () -> {
                if (!cut[from.number()] && routers[from.number()] == from) {
                  from.handle(command, reply);
                }
              });
        });
  }

  /** Returns the workspaces that the control group recalls, null if it can't be reached. */
  List<?> recalls(EscrowRouter from) {
    return cut[from.number()] ? null : (List<?>) state.query(new ControlQuery.Recalls());
  }

  /** Returns the reserve share of a router; the zones are its number modulo 3. */
  static double reserveShare(int router) {
    List<ReserveShare.Router> routers = new ArrayList<>();
    for (int i = 0; i < BudgetTrace.ROUTERS; i++) {
      routers.add(new ReserveShare.Router("a" + i, "z" + i % 3, i < BudgetTrace.ROUTERS_WITH_DISK));
    }
    return ReserveShare.of("a" + router, routers);
  }

  /** Returns the live routers on the same side, without the asking one. */
  List<EscrowRouter> peers(EscrowRouter from) {
    List<EscrowRouter> result = new ArrayList<>();
    for (int k = 1; k < BudgetTrace.ROUTERS; k++) {
      int i = (from.number() + k) % BudgetTrace.ROUTERS;
      if (routers[i] != null && cut[i] == cut[from.number()]) {
        result.add(routers[i]);
      }
    }
    return result;
  }

  boolean isCut(EscrowRouter router) {
    return cut[router.number()];
  }

  @Override
  public void request(int router, Request r, Consumer<Boolean> decision) {
    routers[router].request(r, decision);
  }

  @Override
  public void end(int router, Request r) {
    routers[router].end(r);
  }

  @Override
  public void topUp(TopUp t) {
    confirm(new Intent.TopUpBudget(BudgetTrace.workspace(t.workspace()), t.tokens()));
  }

  @Override
  public void crash(int router) {
    if (routers[router] != null) {
      routers[router].die();
      routers[router] = null;
    }
  }

  @Override
  public void restart(int router) {
    // A cut-off host can't register; it starts when the partition is over.
    if (cut[router]) {
      loop.after(1_000, () -> restart(router));
    } else if (routers[router] == null) {
      start(router, routerTradeoff());
    }
  }

  private Tradeoff routerTradeoff() {
    return state.view().workspaces().get(BudgetTrace.workspace(0)).tradeoff();
  }

  @Override
  public boolean isReady(int router) {
    return routers[router] != null;
  }

  @Override
  public void cut(int router, boolean isCut) {
    cut[router] = isCut;
  }

  @Override
  public String notes() {
    StringBuilder b = new StringBuilder();
    for (int w = 0; w < BudgetTrace.WORKSPACES; w++) {
      BudgetView v = (BudgetView) state.query(new ControlQuery.Budget(BudgetTrace.workspace(w)));
      b.append(
          String.format(
              "  %s: paid in %d, settled %d, outstanding %d, stranded %d, unallotted %d%n",
              v.workspace(),
              v.paidIn(),
              v.settled(),
              v.outstanding(),
              v.stranded(),
              v.unallotted()));
    }
    return b.toString();
  }
}
