package org.goldcrestfall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;

/** Prints plans, and confirms or drops them. */
final class PlanOperations {

  private PlanOperations() {}

  /** Returns the field {@code plan} of a response, or the response itself if it is the plan. */
  static JsonNode extractPlan(JsonNode response) {
    return response.has("plan") ? response.get("plan") : response;
  }

  /** Prints the id, operator and state of a plan, and a table of its changes. */
  static void print(CommandContext context, JsonNode plan) {
    context
        .out()
        .printf(
            "plan %s by %s, %s%n",
            plan.path("id").asText(),
            plan.path("operator").asText(),
            plan.path("state").asText().toLowerCase(Locale.ROOT));
    new Table(List.of("object", "before", "after", "base_revision"))
        .print(context.out(), plan.path("changes"));
  }

  /**
   * Confirms or drops a plan and returns it.
   *
   * @throws CommandException with {@link ExitCode#CONFLICT} if an object of the plan has changed
   *     since the plan was created
   */
  static JsonNode close(CommandContext context, String planId, String action, String operationId) {
    JsonNode response =
        context
            .client()
            .post(
                "/admin/v1/plans/" + Command.urlEncode(planId) + "/" + action,
                context.newObject().put("operation_id", operationId));
    JsonNode plan = extractPlan(response);
    if (plan.path("state").asText().equalsIgnoreCase("conflicted")) {
      throw new CommandException(
          ExitCode.CONFLICT, "plan_conflict: an object of the plan has changed since");
    }
    return plan;
  }
}
