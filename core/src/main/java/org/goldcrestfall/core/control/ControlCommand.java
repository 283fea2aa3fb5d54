package org.goldcrestfall.core.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.goldcrestfall.core.common.Incarnation;

/**
 * A command in the replicated log. Every command is idempotent: a repeated command has no further
 * effect. Its reply may differ from the first one, as in {@link ControlReply.Booked}. Times are
 * milliseconds since the epoch by the sender's clock; they are recorded for operators and never
 * affect a decision.
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
   * Registers a new incarnation of a host: issues the host's next boot number and closes its older
   * incarnations. A repeated nonce returns the number issued for it. {@code router} says whether
   * the host holds allotments, {@code disk} whether it can prove after a restart how much of them
   * it has used.
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

    /** Checks that the required fields are present. */
    public RegisterHost {
      checkNotNull(host, "host");
      checkNotNull(nonce, "nonce");
    }
  }

  /**
   * Closes an incarnation and returns the part of its allotments that it provably did not use.
   * {@code highestUsed} maps a workspace to an upper bound of the cumulative tokens that the
   * incarnation has used or transferred to other routers. If {@code complete} is true, the
   * incarnation has used nothing in the workspaces that are not named; otherwise nothing is proved
   * about them.
   */
  record CloseIncarnation(
      Incarnation incarnation, Map<String, Long> highestUsed, boolean complete, long atMillis)
      implements ControlCommand {

    /** Checks that the required fields are present. */
    public CloseIncarnation {
      checkNotNull(incarnation, "incarnation");
      checkNotNull(highestUsed, "highestUsed");
    }
  }

  /** Creates a plan for an intent; the reply is {@link ControlReply.Planned}. */
  record CreatePlan(String operationId, String operator, Intent intent, long atMillis)
      implements ControlCommand {}

  /** Applies a plan if no object that it changes has changed since the plan was created. */
  record ConfirmPlan(String operationId, String operator, long planId, long atMillis)
      implements ControlCommand {}

  /** Closes a plan without applying it. */
  record DropPlan(String operationId, String operator, long planId, long atMillis)
      implements ControlCommand {}

  /**
   * Grants up to {@code tokens} to a router. Each grant number takes effect once per router and
   * workspace. The grant is limited so that the router's allotment stays within its fair share of
   * the budget that is not settled yet: {@code sharePerMille} thousandths of an equal share among
   * the routers, where 0 means one equal share. The fair share never limits the grant to less than
   * {@code needed}, the tokens that a waiting request requires.
   */
  record GrantAllotment(
      Incarnation router,
      String workspace,
      long number,
      long tokens,
      long needed,
      long sharePerMille)
      implements ControlCommand {

    /** Checks that the required fields are present. */
    public GrantAllotment {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
    }
  }

  /**
   * Returns tokens from a router's allotment to the budget. {@code returnedTotal} is the sum of all
   * returns of the incarnation in the workspace.
   */
  record ReturnAllotment(Incarnation router, String workspace, long returnedTotal)
      implements ControlCommand {

    /** Checks that the required fields are present. */
    public ReturnAllotment {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
    }
  }

  /**
   * Records a transfer of tokens between two routers. Each transfer number takes effect once per
   * sending incarnation and workspace.
   */
  record TransferAllotment(
      Incarnation from, Incarnation to, String workspace, long number, long tokens)
      implements ControlCommand {

    /** Checks that the required fields are present. */
    public TransferAllotment {
      checkNotNull(from, "from");
      checkNotNull(to, "to");
      checkNotNull(workspace, "workspace");
    }
  }

  /**
   * Confirms that the router has reported every transfer that it received from incarnations closed
   * at or before log index {@code closedThrough}, and accepts no further ones from them. Stranded
   * tokens are released only after all routers have confirmed this.
   */
  record ReportTransfers(Incarnation router, long closedThrough) implements ControlCommand {

    /** Checks that the required fields are present. */
    public ReportTransfers {
      checkNotNull(router, "router");
    }
  }

  /**
   * Stores the billing records whose requests are not billed yet and charges them to the router's
   * allotments. A router numbers its batches from 1 and sends the next one only after the reply to
   * the previous one.
   */
  record SettleRequests(Incarnation router, long batch, List<BillingRecord> records)
      implements ControlCommand {

    /** Checks the router and copies the list. */
    public SettleRequests {
      checkNotNull(router, "router");
      records = List.copyOf(records);
    }
  }

  /**
   * Commits the start of a booking before the call is sent, and charges the booking to the router's
   * allotment. {@code attempt} is unique within the router's incarnation: a repeated command has
   * the same attempt number, a new attempt to run the booking has a new one.
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

    /** Checks that the required fields are present. */
    public StartBooking {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
      checkNotNull(requestId, "requestId");
      checkNotNull(bodyHash, "bodyHash");
      checkNotNull(service, "service");
    }
  }

  /**
   * Records the outcome of an attempt to run a booking. {@code status}, {@code contentType} and
   * {@code body} are the service's HTTP response, the body in Base64.
   */
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

    /** Checks that the required fields are present. */
    public FinishBooking {
      checkNotNull(router, "router");
      checkNotNull(workspace, "workspace");
      checkNotNull(requestId, "requestId");
      checkNotNull(outcome, "outcome");
    }
  }

  /** Records the outcome of an order to an engine. */
  record FinishOrder(long fencing, boolean success, String detail, long atMillis)
      implements ControlCommand {}
}
