package org.goldcrestfall.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.goldcrestfall.core.common.Incarnation;

/**
 * An entry of the replicated log. Every command may arrive more than once and then returns its
 * first reply. Times are wall-clock milliseconds of the sender and serve only the audit trail.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlCommand.RegisterHost.class, name = "register_host"),
  @JsonSubTypes.Type(value = ControlCommand.CloseIncarnation.class, name = "close_incarnation"),
  @JsonSubTypes.Type(value = ControlCommand.CreatePlan.class, name = "create_plan"),
  @JsonSubTypes.Type(value = ControlCommand.ConfirmPlan.class, name = "confirm_plan"),
  @JsonSubTypes.Type(value = ControlCommand.DropPlan.class, name = "drop_plan"),
  @JsonSubTypes.Type(value = ControlCommand.GrantAllotment.class, name = "grant_allotment"),
  @JsonSubTypes.Type(value = ControlCommand.ReturnAllotment.class, name = "return_allotment"),
  @JsonSubTypes.Type(value = ControlCommand.TransferAllotment.class, name = "transfer_allotment"),
  @JsonSubTypes.Type(value = ControlCommand.SettleRequests.class, name = "settle_requests"),
  @JsonSubTypes.Type(value = ControlCommand.StartBooking.class, name = "start_booking"),
  @JsonSubTypes.Type(value = ControlCommand.FinishBooking.class, name = "finish_booking"),
  @JsonSubTypes.Type(value = ControlCommand.FinishOrder.class, name = "finish_order")
})
public sealed interface ControlCommand {

  /**
   * Issues the next boot number of a host and closes its older incarnations; the same nonce gives
   * the same number.
   */
  record RegisterHost(String host, String zone, String address, String nonce, long atMillis)
      implements ControlCommand {}

  /**
   * Returns the allotments of a closed incarnation beyond its highest use; {@code highestUsed} maps
   * a workspace to the cumulative tokens that the incarnation may have used or transferred away.
   */
  record CloseIncarnation(Incarnation incarnation, Map<String, Long> highestUsed, long atMillis)
      implements ControlCommand {}

  /** Answers an intent with a plan. */
  record CreatePlan(String operationId, String operator, Intent intent, long atMillis)
      implements ControlCommand {}

  /** Applies a plan if no object that it touches has changed since. */
  record ConfirmPlan(String operationId, String operator, long planId, long atMillis)
      implements ControlCommand {}

  /** Closes a plan without applying it. */
  record DropPlan(String operationId, String operator, long planId, long atMillis)
      implements ControlCommand {}

  /** Grants up to {@code tokens} to a router; a number is granted once per router and workspace. */
  record GrantAllotment(Incarnation router, String workspace, long number, long tokens)
      implements ControlCommand {}

  /** Returns allotment; {@code returnedTotal} is cumulative over the incarnation. */
  record ReturnAllotment(Incarnation router, String workspace, long returnedTotal)
      implements ControlCommand {}

  /** Records a transfer between two routers; a number counts once per giver and workspace. */
  record TransferAllotment(
      Incarnation from, Incarnation to, String workspace, long number, long tokens)
      implements ControlCommand {}

  /** Writes the billing records that do not exist yet and charges the router's allotments. */
  record SettleRequests(Incarnation router, List<BillingRecord> records)
      implements ControlCommand {}

  /** Commits that a booking is about to be sent and charges it to the router's allotment. */
  record StartBooking(
      Incarnation router,
      String workspace,
      String requestId,
      String bodyHash,
      String service,
      long tokens,
      long atMillis)
      implements ControlCommand {}

  /** Records the outcome of a booking; {@code body} is the kept answer in Base64. */
  record FinishBooking(
      Incarnation router,
      String workspace,
      String requestId,
      BookingOutcome outcome,
      int status,
      String contentType,
      String body,
      long atMillis)
      implements ControlCommand {}

  /** Records how an order to an engine ended. */
  record FinishOrder(long fencing, boolean success, String detail, long atMillis)
      implements ControlCommand {}
}
