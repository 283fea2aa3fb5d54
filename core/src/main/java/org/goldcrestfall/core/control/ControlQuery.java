package org.goldcrestfall.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.goldcrestfall.core.common.Incarnation;

/** A read of the control state; each query documents the records that answer it. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlQuery.Workspaces.class, name = "workspaces"),
  @JsonSubTypes.Type(value = ControlQuery.Budget.class, name = "budget"),
  @JsonSubTypes.Type(value = ControlQuery.Billing.class, name = "billing"),
  @JsonSubTypes.Type(value = ControlQuery.BillingOf.class, name = "billing_of"),
  @JsonSubTypes.Type(value = ControlQuery.Bookings.class, name = "bookings"),
  @JsonSubTypes.Type(value = ControlQuery.BookingOf.class, name = "booking_of"),
  @JsonSubTypes.Type(value = ControlQuery.PlanOf.class, name = "plan_of"),
  @JsonSubTypes.Type(value = ControlQuery.Audit.class, name = "audit"),
  @JsonSubTypes.Type(value = ControlQuery.Hosts.class, name = "hosts"),
  @JsonSubTypes.Type(value = ControlQuery.Orders.class, name = "orders"),
  @JsonSubTypes.Type(value = ControlQuery.Shortages.class, name = "recalls"),
  @JsonSubTypes.Type(value = ControlQuery.Accounts.class, name = "accounts")
})
public sealed interface ControlQuery {

  /** All workspaces: a list of {@code ConfigView.Workspace}. */
  record Workspaces() implements ControlQuery {}

  /** The budget of a workspace: a {@code BudgetView}. */
  record Budget(String workspace) implements ControlQuery {}

  /** The newest billing records of a workspace: a list of {@link BillingRecord}. */
  record Billing(String workspace, int limit) implements ControlQuery {}

  /** The billing record of a request: a list of none or one {@link BillingRecord}. */
  record BillingOf(String workspace, String requestId) implements ControlQuery {}

  /** The newest bookings of a workspace: a list of {@link Booking}. */
  record Bookings(String workspace, int limit) implements ControlQuery {}

  /** The booking under a request id: a list of none or one {@link Booking}. */
  record BookingOf(String workspace, String requestId) implements ControlQuery {}

  /** One plan: a {@link Plan}. */
  record PlanOf(long planId) implements ControlQuery {}

  /**
   * The newest audit entries, restricted to one object unless {@code object} is null or empty: a
   * list of {@link AuditEntry}.
   */
  record Audit(String object, int limit) implements ControlQuery {}

  /** The registered hosts with their newest incarnation: a list of {@link HostRecord}. */
  record Hosts() implements ControlQuery {}

  /** The newest orders to engines: a list of {@link EngineOrder}. */
  record Orders(int limit) implements ControlQuery {}

  /** The workspaces whose routers have a shortage of tokens: a list of {@link BudgetShortage}. */
  record Shortages() implements ControlQuery {}

  /** The accounts of an incarnation in all budgets: a list of {@link AllotmentAccount}. */
  record Accounts(Incarnation incarnation) implements ControlQuery {}
}
