package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.UUID;

/**
 * A command that submits an intent and prints the resulting plan. With {@code --confirm} it also
 * confirms the plan. The operation id of the confirmation is derived from that of the intent, so
 * that running the command again with the same {@code --operation-id} repeats both operations
 * instead of starting new ones.
 */
abstract class ChangeCommand extends Command {

  private static final String CONFIRM_SUFFIX = "-confirm";

  @Parameter(names = "--confirm", description = "Confirm the plan immediately")
  boolean confirm;

  @Parameter(
      names = "--operation-id",
      description = "Operation id of an earlier attempt to repeat (default: a new id)")
  String operationId = "";

  /**
   * Returns the intent in the JSON form of {@code core.control.Intent}. A command that overrides
   * {@link #submit} can return another object.
   */
  abstract ObjectNode intent(CommandContext context);

  /** Submits the intent and returns an object with the field {@code plan}, or also {@code key}. */
  JsonNode submit(CommandContext context, String id) {
    ObjectNode body = context.newObject().put("operation_id", id);
    body.set("intent", intent(context));
    JsonNode response = context.client().post("/admin/v1/plans", body);
    ObjectNode submitted = context.newObject();
    submitted.set("plan", PlanOperations.extractPlan(response));
    return submitted;
  }

  @Override
  void run(CommandContext context) {
    String id = operationId.isEmpty() ? UUID.randomUUID().toString() : operationId;
    JsonNode submitted = submit(context, id);
    JsonNode plan = submitted.get("plan");
    if (!context.jsonOutput()) {
      PlanOperations.print(context, plan);
      if (submitted.has("key")) {
        context.out().println("key " + submitted.get("key").asText() + " (shown only once)");
      }
    }
    if (confirm) {
      plan = confirmPlan(context, id, plan);
    }
    if (context.jsonOutput()) {
      ObjectNode result = context.newObject().put("operation_id", id);
      if (submitted.has("key")) {
        result.set("key", submitted.get("key"));
      }
      result.set("plan", plan);
      context.out().println(result);
    } else if (confirm) {
      context.out().println("confirmed at revision " + plan.path("revision").asText());
    } else {
      context.out().println("to apply it: goldcrestfall plan confirm " + plan.path("id").asText());
    }
  }

  private JsonNode confirmPlan(CommandContext context, String id, JsonNode plan) {
    try {
      return PlanOperations.close(
          context, plan.path("id").asText(), "confirm", id + CONFIRM_SUFFIX);
    } catch (CommandException e) {
      throw new CommandException(
          e.exitCode(),
          e.getMessage() + " (plan " + plan.path("id").asText() + ", operation id " + id + ")");
    }
  }
}
