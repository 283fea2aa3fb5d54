package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.UUID;

/**
 * A command that submits an intent and prints the plan that answers it. With {@code --confirm} it
 * confirms the plan at once. The confirmation has an operation id derived from that of the intent,
 * so that a resend of the whole command repeats both operations.
 */
abstract class ChangeCommand extends Command {

  private static final String CONFIRM_SUFFIX = "-confirm";

  @Parameter(names = "--confirm", description = "Confirm the plan at once")
  boolean confirm;

  @Parameter(
      names = "--operation-id",
      description = "Operation id of an earlier attempt, to resend it (default: a new one)")
  String operationId = "";

  /** Returns the intent as named in {@code core.control.Intent}, or null for a new key. */
  abstract ObjectNode intent(Session session);

  /** Submits the intent and returns an object with the field {@code plan}. */
  JsonNode submit(Session session, String id) {
    ObjectNode body = session.object().put("operation_id", id);
    body.set("intent", intent(session));
    JsonNode answer = session.client().post("/admin/v1/plans", body);
    ObjectNode submitted = session.object();
    submitted.set("plan", PlanPrinter.planOf(answer));
    return submitted;
  }

  @Override
  void run(Session session) {
    String id = operationId.isEmpty() ? UUID.randomUUID().toString() : operationId;
    JsonNode submitted = submit(session, id);
    JsonNode plan = submitted.get("plan");
    if (!session.json()) {
      PlanPrinter.print(session, plan);
      if (submitted.has("key")) {
        session.out().println("key " + submitted.get("key").asText() + " (shown only once)");
      }
    }
    if (confirm) {
      plan = confirmed(session, id, plan);
    }
    if (session.json()) {
      ObjectNode result = session.object().put("operation_id", id);
      if (submitted.has("key")) {
        result.set("key", submitted.get("key"));
      }
      result.set("plan", plan);
      session.out().println(result);
    } else if (confirm) {
      session.out().println("confirmed at revision " + plan.path("revision").asText());
    } else {
      session.out().println("to apply it: goldcrestfall plan confirm " + plan.path("id").asText());
    }
  }

  private JsonNode confirmed(Session session, String id, JsonNode plan) {
    try {
      return PlanPrinter.close(session, plan.path("id").asText(), "confirm", id + CONFIRM_SUFFIX);
    } catch (CommandFailure e) {
      throw new CommandFailure(
          e.exitCode(),
          e.getMessage() + " (plan " + plan.path("id").asText() + ", operation id " + id + ")");
    }
  }
}
