package org.goldcrestfall.core.control;

import static org.goldcrestfall.core.common.ErrorKind.INVALID_PARAMETER;
import static org.goldcrestfall.core.common.ErrorKind.NOT_FOUND;
import static org.goldcrestfall.core.common.ErrorKind.OPERATION_REUSED;
import static org.goldcrestfall.core.common.ErrorKind.PLAN_CLOSED;
import static org.goldcrestfall.core.common.ErrorKind.PLAN_CONFLICT;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ControlReply.Planned;
import org.goldcrestfall.core.control.ControlReply.Refused;

/** The plans, the operations of operators, and the audit trail. */
final class PlanTable {

  /** The number of plans retained. Confirming an older one is refused with {@code NOT_FOUND}. */
  static final int MAX_PLANS = 2_000;

  /**
   * The number of operations retained. Repeating an older operation creates another plan, which
   * stays open until it is confirmed, or is refused with {@code PLAN_CLOSED}; it never applies a
   * change twice.
   */
  static final int MAX_OPERATIONS = 10_000;

  /**
   * The number of audit entries retained, enough for four days at the target load of 12,000 changes
   * a day.
   */
  static final int MAX_AUDIT_ENTRIES = 50_000;

  private final ConfigHistory config;
  private final IntentEffects effects;
  private final TreeMap<Long, Plan> plans = new TreeMap<>();
  private final LinkedHashMap<String, Operation> operations = new LinkedHashMap<>();
  private final ArrayDeque<AuditEntry> audit = new ArrayDeque<>();

  PlanTable(ConfigHistory config, IntentEffects effects) {
    this.config = config;
    this.effects = effects;
  }

  ControlReply create(long index, ControlCommand.CreatePlan c) {
    Intent intent = c.intent();
    return executeOnce(
        c.operationId(), c.operator(), "create", 0, intent, () -> createOnce(index, intent, c));
  }

  private ControlReply createOnce(long index, Intent intent, ControlCommand.CreatePlan c) {
    effects.check(intent);
    Plan plan =
        new Plan(index, c.operator(), intent, List.of(effects.preview(intent)), Plan.State.OPEN, 0);
    plans.put(index, plan);
    if (plans.size() > MAX_PLANS) {
      plans.pollFirstEntry();
    }
    return new Planned(plan);
  }

  ControlReply confirm(long index, ControlCommand.ConfirmPlan c) {
    return executeOnce(
        c.operationId(), c.operator(), "confirm", c.planId(), null, () -> confirmOnce(index, c));
  }

  private ControlReply confirmOnce(long index, ControlCommand.ConfirmPlan c) {
    Plan plan = requireOpen(c.planId());
    for (Change change : plan.changes()) {
      long revision = config.revision(change.object());
      if (revision != change.baseRevision()) {
        close(plan, Plan.State.CONFLICTED, 0);
        Change current = effects.preview(plan.intent());
        return new Refused(
            PLAN_CONFLICT,
            String.format(
                "%s has changed at revision %d since the plan was made: before %s, now %s",
                change.object(), revision, change.before(), current.before()));
      }
    }
    try {
      effects.check(plan.intent());
    } catch (RequestFailure e) {
      close(plan, Plan.State.CONFLICTED, 0);
      return new Refused(PLAN_CONFLICT, e.getMessage());
    }
    effects.execute(plan.intent(), index, c.atMillis());
    for (Change change : plan.changes()) {
      config.setRevision(change.object(), index);
      addAuditEntry(
          new AuditEntry(
              index,
              c.atMillis(),
              c.operator(),
              plan.id(),
              "confirm",
              change.object(),
              change.before(),
              change.after()));
    }
    return new Planned(close(plan, Plan.State.CONFIRMED, index));
  }

  ControlReply drop(long index, ControlCommand.DropPlan c) {
    return executeOnce(
        c.operationId(), c.operator(), "drop", c.planId(), null, () -> dropOnce(index, c));
  }

  private ControlReply dropOnce(long index, ControlCommand.DropPlan c) {
    Plan plan = requireOpen(c.planId());
    for (Change change : plan.changes()) {
      addAuditEntry(
          new AuditEntry(
              index,
              c.atMillis(),
              c.operator(),
              plan.id(),
              "drop",
              change.object(),
              change.before(),
              change.before()));
    }
    return new Planned(close(plan, Plan.State.DROPPED, 0));
  }

  private Plan requireOpen(long id) {
    Plan plan = plans.get(id);
    if (plan == null) {
      throw new RequestFailure(NOT_FOUND, "there is no plan " + id);
    }
    if (plan.state() != Plan.State.OPEN) {
      throw new RequestFailure(PLAN_CLOSED, "plan " + id + " is " + plan.state());
    }
    return plan;
  }

  private Plan close(Plan p, Plan.State state, long revision) {
    Plan closed = new Plan(p.id(), p.operator(), p.intent(), p.changes(), state, revision);
    plans.put(p.id(), closed);
    return closed;
  }

  /**
   * Runs an operation, or returns the stored reply if it has run before. An id that was used for
   * another operation is refused.
   */
  private ControlReply executeOnce(
      String id,
      String operator,
      String action,
      long planId,
      Intent intent,
      Supplier<ControlReply> run) {
    if (id == null || id.isEmpty() || id.length() > 200 || operator == null) {
      return new Refused(
          INVALID_PARAMETER, "an operation needs an operator and an id of at most 200 characters");
    }
    Operation known = operations.get(id);
    if (known != null) {
      return known.matches(operator, action, planId, intent)
          ? known.reply()
          : new Refused(OPERATION_REUSED, "operation id " + id + " was used for something else");
    }
    ControlReply reply;
    try {
      reply = run.get();
    } catch (RequestFailure e) {
      reply = new Refused(e.kind(), e.getMessage());
    }
    operations.put(id, new Operation(id, operator, action, planId, intent, reply));
    if (operations.size() > MAX_OPERATIONS) {
      operations.remove(operations.keySet().iterator().next());
    }
    return reply;
  }

  private void addAuditEntry(AuditEntry entry) {
    audit.add(entry);
    if (audit.size() > MAX_AUDIT_ENTRIES) {
      audit.remove();
    }
  }

  Plan find(long id) {
    return plans.get(id);
  }

  List<AuditEntry> newestAudit(String object, int limit) {
    List<AuditEntry> result = new ArrayList<>();
    for (AuditEntry e : audit) {
      if (object == null || object.isEmpty() || e.object().equals(object)) {
        result.add(e);
      }
    }
    return NewestFirst.of(result, limit);
  }

  Saved save() {
    return new Saved(
        List.copyOf(plans.values()), List.copyOf(operations.values()), List.copyOf(audit));
  }

  void restore(Saved s) {
    s.plans().forEach(p -> plans.put(p.id(), p));
    s.operations().forEach(o -> operations.put(o.id(), o));
    audit.addAll(s.audit());
  }

  /** An operation with its parameters and first reply. */
  public record Operation(
      String id, String operator, String action, long planId, Intent intent, ControlReply reply) {

    boolean matches(String operator, String action, long planId, Intent intent) {
      return this.operator.equals(operator)
          && this.action.equals(action)
          && this.planId == planId
          && Objects.equals(this.intent, intent);
    }
  }

  /** The form of the plans, operations and audit trail in a snapshot. */
  public record Saved(List<Plan> plans, List<Operation> operations, List<AuditEntry> audit) {}
}
