package org.goldcrestfall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;

/** Prints plans, and confirms or drops them. */
final class PlanPrinter {

  private PlanPrinter() {}

  /** Returns the plan of an answer that is a plan or has a field {@code plan}. */
  static JsonNode planOf(JsonNode answer) {
    return answer.has("plan") ? answer.get("plan") : answer;
  }

  /** Prints the plan as a table of its changes. */
  static void print(Session session, JsonNode plan) {
    session
        .out()
        .printf(
            "plan %s by %s, %s%n",
            plan.path("id").asText(),
            plan.path("operator").asText(),
            plan.path("state").asText().toLowerCase(Locale.ROOT));
    new Table(List.of("object", "before", "after", "base_revision"))
        .print(session.out(), plan.path("changes"));
  }

  /**
   * Confirms or drops a plan and returns it.
   *
   * @throws CommandFailure with {@link ExitCode#CONFLICT} if another change came first
   */
  static JsonNode close(Session session, String planId, String action, String operationId) {
    JsonNode answer =
        session
            .client()
            .post(
                "/admin/v1/plans/" + Command.encoded(planId) + "/" + action,
                session.object().put("operation_id", operationId));
    JsonNode plan = planOf(answer);
    if (plan.path("state").asText().equalsIgnoreCase("conflicted")) {
      throw new CommandFailure(
          ExitCode.CONFLICT, "plan_conflict: an object of the plan has changed since");
    }
    return plan;
  }
}
