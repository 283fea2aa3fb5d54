package org.goldcrestfall.core.control;

import static com.google.common.base.Preconditions.checkArgument;
import static org.goldcrestfall.core.common.ErrorKind.INVALID_PARAMETER;
import static org.goldcrestfall.core.common.ErrorKind.NOT_FOUND;

import java.util.List;
import java.util.regex.Pattern;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ControlReply.Refused;

/**
 * The replicated state machine of the control group. It is deterministic: the same commands at the
 * same log indexes produce the same replies on every replica, so it reads no clock and uses no
 * random numbers. It is not thread-safe.
 */
public final class ControlState {

  private static final Pattern HOST_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9.-]{0,62}");

  private final HostTable hosts = new HostTable();
  private final BudgetTable budgets = new BudgetTable(hosts);
  private final BillingTable billing = new BillingTable(budgets);
  private final BookingTable bookings = new BookingTable(budgets, hosts);
  private final ConfigHistory config = new ConfigHistory();
  private final OrderTable orders = new OrderTable();
  private final PlanTable plans =
      new PlanTable(config, new IntentEffects(config, budgets, orders, hosts, this::closeIfOpen));
  private long lastIndex;

  /** Creates the state before the first command. */
  public ControlState() {}

  /**
   * Restores the state from a snapshot.
   *
   * @throws IllegalArgumentException if the snapshot version is not supported
   */
  public static ControlState restore(ControlSnapshot snapshot) {
    checkArgument(
        snapshot.version() == ControlSnapshot.VERSION,
        "snapshot version %s is not supported, expected %s",
        snapshot.version(),
        ControlSnapshot.VERSION);
    ControlState state = new ControlState();
    state.lastIndex = snapshot.index();
    state.hosts.restore(snapshot.hosts());
    state.budgets.restore(snapshot.budgets());
    state.billing.restore(snapshot.billing());
    state.bookings.restore(snapshot.bookings());
    state.config.restore(snapshot.config());
    state.plans.restore(snapshot.plans());
    state.orders.restore(snapshot.orders());
    return state;
  }

  /** Returns a snapshot of the whole state. */
  public ControlSnapshot snapshot() {
    return new ControlSnapshot(
        ControlSnapshot.VERSION,
        lastIndex,
        hosts.list(),
        budgets.save(),
        billing.save(),
        bookings.save(),
        config.save(),
        plans.save(),
        orders.save());
  }

  /**
   * Applies the command at a log index.
   *
   * @throws IllegalArgumentException if {@code index} is not above that of the previous command
   */
  public ControlReply apply(long index, ControlCommand command) {
    checkArgument(
        index > lastIndex, "log index %s is not above the last applied index %s", index, lastIndex);
    lastIndex = index;
    if (command instanceof ControlCommand.SettleRequests c) {
      return billing.settle(c);
    }
    if (command instanceof ControlCommand.GrantAllotment c) {
      return budgets.grant(c);
    }
    if (command instanceof ControlCommand.ReturnAllotment c) {
      return budgets.returnAllotment(c);
    }
    if (command instanceof ControlCommand.TransferAllotment c) {
      return budgets.transfer(c);
    }
    if (command instanceof ControlCommand.StartBooking c) {
      return bookings.start(c);
    }
    if (command instanceof ControlCommand.FinishBooking c) {
      return bookings.finish(c);
    }
    if (command instanceof ControlCommand.CreatePlan c) {
      return plans.create(index, c);
    }
    if (command instanceof ControlCommand.ConfirmPlan c) {
      return plans.confirm(index, c);
    }
    if (command instanceof ControlCommand.DropPlan c) {
      return plans.drop(index, c);
    }
    if (command instanceof ControlCommand.FinishOrder c) {
      return orders.finish(c);
    }
    if (command instanceof ControlCommand.RegisterHost c) {
      return register(index, c);
    }
    if (command instanceof ControlCommand.CloseIncarnation c) {
      return close(index, c);
    }
    return reportTransfers((ControlCommand.ReportTransfers) command);
  }

  private ControlReply register(long index, ControlCommand.RegisterHost c) {
    if (!HOST_NAME.matcher(c.host()).matches() || c.nonce() == null || c.nonce().isEmpty()) {
      return new Refused(
          INVALID_PARAMETER, "a registration needs a nonce and a host name matching " + HOST_NAME);
    }
    long knownBoot = hosts.bootOf(c.host(), c.nonce());
    if (knownBoot > 0) {
      return new ControlReply.Registered(knownBoot);
    }
    long boot = hosts.register(index, c);
    budgets.close(c.host(), boot, index);
    bookings.close(c.host(), boot);
    budgets.releaseRequestedAccounts();
    return new ControlReply.Registered(boot);
  }

  private ControlReply close(long index, ControlCommand.CloseIncarnation c) {
    Incarnation i = c.incarnation();
    if (!hosts.isKnown(i)) {
      return new Refused(NOT_FOUND, "the router incarnation " + i + " is not registered");
    }
    closeIfOpen(i, index);
    Refused refused = budgets.applyUsageProof(i, c.highestUsed(), c.complete());
    return refused != null ? refused : new ControlReply.Done();
  }

  private void closeIfOpen(Incarnation i, long index) {
    if (hosts.isOpen(i)) {
      hosts.close(i.host(), index);
      budgets.close(i.host(), i.boot() + 1, index);
      bookings.close(i.host(), i.boot() + 1);
      budgets.releaseRequestedAccounts();
    }
  }

  private ControlReply reportTransfers(ControlCommand.ReportTransfers c) {
    if (!hosts.isOpen(c.router())) {
      return BudgetTable.closedRefusal(c.router());
    }
    hosts.recordTransferReport(c.router().host(), Math.min(c.closedThrough(), lastIndex));
    budgets.releaseRequestedAccounts();
    return new ControlReply.Done();
  }

  /**
   * Answers a query with the records that its type documents.
   *
   * @throws RequestFailure if the object does not exist
   */
  public Object query(ControlQuery query) {
    if (query instanceof ControlQuery.Workspaces) {
      return config.view().workspaces().values().stream()
          .sorted((a, b) -> a.name().compareTo(b.name()))
          .toList();
    }
    if (query instanceof ControlQuery.Budget q) {
      return requireFound(budgets.find(q.workspace()), "workspace " + q.workspace()).view();
    }
    if (query instanceof ControlQuery.Billing q) {
      return billing.newest(q.workspace(), q.limit());
    }
    if (query instanceof ControlQuery.BillingOf q) {
      return billing.find(q.workspace(), q.requestId());
    }
    if (query instanceof ControlQuery.BookingOf q) {
      return bookings.find(q.workspace(), q.requestId());
    }
    if (query instanceof ControlQuery.Bookings q) {
      return bookings.newest(q.workspace(), q.limit());
    }
    if (query instanceof ControlQuery.PlanOf q) {
      return requireFound(plans.find(q.planId()), "plan " + q.planId());
    }
    if (query instanceof ControlQuery.Audit q) {
      return plans.newestAudit(q.object(), q.limit());
    }
    if (query instanceof ControlQuery.Hosts) {
      return hosts.list();
    }
    if (query instanceof ControlQuery.Orders q) {
      return orders.newest(q.limit());
    }
    if (query instanceof ControlQuery.Shortages) {
      return budgets.shortages();
    }
    return budgets.accounts(((ControlQuery.Accounts) query).incarnation());
  }

  private static <T> T requireFound(T value, String description) {
    if (value == null) {
      throw new RequestFailure(NOT_FOUND, "there is no " + description);
    }
    return value;
  }

  /** Returns the current configuration. */
  public ConfigView configView() {
    return config.view();
  }

  /**
   * Returns the configuration changes after a revision in ascending order, or null if some of them
   * are no longer retained and the caller needs the whole view.
   */
  public List<ConfigChange> changesAfter(long revision) {
    return config.changesAfter(revision);
  }

  /** Returns the queued orders to engines in ascending order of their fencing numbers. */
  public List<EngineOrder> queuedOrders() {
    return orders.queued();
  }

  /** Returns the log index of the last applied command, 0 before the first. */
  public long lastIndex() {
    return lastIndex;
  }
}
