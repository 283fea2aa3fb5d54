package org.goldcrestfall.core.control;

import static com.google.common.base.Preconditions.checkNotNull;

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
  @JsonSubTypes.Type(value = ControlCommand.ReportTransfers.class, name = "report_transfers"),
  @JsonSubTypes.Type(value = ControlCommand.SettleRequests.class, name = "settle_requests"),
  @JsonSubTypes.Type(value = ControlCommand.StartBooking.class, name = "start_booking"),
  @JsonSubTypes.Type(value = ControlCommand.FinishBooking.class, name = "finish_booking"),
  @JsonSubTypes.Type(value = ControlCommand.FinishOrder.class, name = "finish_order")
})
public sealed interface ControlCommand {

  /**
   * Issues the next boot number of a host and closes its older incarnations; the same nonce gives
   * the same number. {@code router} tells whether it holds allotments, {@code disk} whether it can
   * prove after a restart what it has used of them.
   */
  record RegisterHost(
      String host,
      String zone,
      String address,
      String nonce,
      boolean router,
      boolean disk,
      long atMillis)
      implements ControlCommand {

    /** Checks that no field is missing. */
    public RegisterHost {
      checkNotNull(host, "host");
      checkNotNull(nonce, "nonce");
    }
  }

  /**
   * Returns the allotments of a closed incarnation beyond its highest use; {@code highestUsed} maps
   * a workspace to the cumulative tokens that the incarnation may have used or transferred away.
   * Where {@code complete} is true, it has used nothing of the workspaces that are not named;
   * otherwise nothing is proved about them.
   */
  record CloseIncarnation(
      Incarnation incarnation, Map<String, Long> highestUsed, boolean complete, long atMillis)
      implements ControlCommand {

    /** Checks that no field is missing. */
    public CloseIncarnation {
      checkNotNull(incarnation, "incarnation");
      checkNotNull(highestUsed, "highestUsed");
    }
  }

  /** Answers an intent with a plan. */
  record CreatePlan(String operationId, String operator, Intent intent, long atMillis)
      implements ControlCommand {}

  /** Applies a plan if no object that it touches has changed since. */
  record ConfirmPlan(String operationId, String operator, long planId, long atMillis)
      implements ControlCommand {}

  /** Closes a plan without applying it. */
  record DropPlan(String operationId, String operator, long planId, long atMillis)
      implements ControlCommand {}

  /**
   * Grants up to {@code tokens} to a router; a number is granted once per router and workspace. The
   * router's allotment is limited to its fair share of what is left of the budget, {@code
   * sharePerMille} thousandths of an equal part for each router (0 stands for one part), but the
   * grant is not limited below {@code needed}, the tokens that a request waits for.
   */
  record GrantAllotment(
      Incarnation router,
      String workspace,
      long number,
      long tokens,
      long needed,
      long sharePerMille)
      implements ControlCommand {

    /** Checks that no field is missing. */
    public GrantAllotment {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
    }
  }

  /** Returns allotment; {@code returnedTotal} is cumulative over the incarnation. */
  record ReturnAllotment(Incarnation router, String workspace, long returnedTotal)
      implements ControlCommand {

    /** Checks that no field is missing. */
    public ReturnAllotment {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
    }
  }

  /** Records a transfer between two routers; a number counts once per giver and workspace. */
  record TransferAllotment(
      Incarnation from, Incarnation to, String workspace, long number, long tokens)
      implements ControlCommand {

    /** Checks that no field is missing. */
    public TransferAllotment {
      checkNotNull(from, "from");
      checkNotNull(to, "to");
      checkNotNull(workspace, "workspace");
    }
  }

  /**
   * States that the router has reported every transfer that it received from incarnations closed at
   * or before log index {@code closedThrough}, and accepts no further ones from them. Stranded
   * tokens are released only after all routers have stated this.
   */
  record ReportTransfers(Incarnation router, long closedThrough) implements ControlCommand {

    /** Checks that no field is missing. */
    public ReportTransfers {
      checkNotNull(router, "router");
    }
  }

  /**
   * Writes the billing records that do not exist yet and charges the router's allotments. A router
   * numbers its batches from 1 and sends the next one only after the reply to the previous one.
   */
  record SettleRequests(Incarnation router, long batch, List<BillingRecord> records)
      implements ControlCommand {

    /** Copies the list. */
    public SettleRequests {
      checkNotNull(router, "router");
      records = List.copyOf(records);
    }
  }

  /**
   * Commits that a booking is about to be sent and charges it to the router's allotment. {@code
   * attempt} is unique within the router's incarnation: a repeated command has the same attempt,
   * another try to run the booking has a new one.
   */
  record StartBooking(
      Incarnation router,
      long attempt,
      String workspace,
      String requestId,
      String bodyHash,
      String service,
      long tokens,
      long atMillis)
      implements ControlCommand {

    /** Checks that no field is missing. */
    public StartBooking {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
      checkNotNull(requestId, "requestId");
      checkNotNull(bodyHash, "bodyHash");
      checkNotNull(service, "service");
    }
  }

  /** Records the outcome of an attempt of a booking; {@code body} is the answer in Base64. */
  record FinishBooking(
      Incarnation router,
      long attempt,
      String workspace,
      String requestId,
      BookingOutcome outcome,
      int status,
      String contentType,
      String body,
      long atMillis)
      implements ControlCommand {

    /** Checks that no field is missing. */
    public FinishBooking {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
      checkNotNull(requestId, "requestId");
      checkNotNull(outcome, "outcome");
    }
  }

  /** Records how an order to an engine ended. */
  record FinishOrder(long fencing, boolean success, String detail, long atMillis)
      implements ControlCommand {}
}
