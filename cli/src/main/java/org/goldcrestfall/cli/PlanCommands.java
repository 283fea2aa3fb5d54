package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.UUID;

/** The subcommands of {@code plan}. */
final class PlanCommands {

  private PlanCommands() {}

  /** Shows a plan. */
  @Parameters(commandDescription = "Show a plan")
  static final class Show extends Command {
    @Parameter(description = "PLAN", required = true)
    String plan;

    @Override
    void run(CommandContext context) {
      JsonNode shown =
          PlanOperations.extractPlan(context.client().get("/admin/v1/plans/" + urlEncode(plan)));
      if (context.jsonOutput()) {
        context.out().println(shown);
      } else {
        PlanOperations.print(context, shown);
      }
    }
  }

  /** Confirms a plan. */
  @Parameters(commandDescription = "Confirm a plan; exit code 3 if an object has changed since")
  static final class Confirm extends Close {
    Confirm() {
      super("confirm");
    }
  }

  /** Drops a plan. */
  @Parameters(commandDescription = "Drop a plan")
  static final class Drop extends Close {
    Drop() {
      super("drop");
    }
  }

  /** Confirms or drops a plan. */
  abstract static class Close extends Command {
    @Parameter(description = "PLAN", required = true)
    String plan;

    @Parameter(
        names = "--operation-id",
        description = "Operation id of an earlier attempt to repeat (default: a new id)")
    String operationId = "";

    private final String action;

    Close(String action) {
      this.action = action;
    }

    @Override
    void run(CommandContext context) {
      String id = operationId.isEmpty() ? UUID.randomUUID().toString() : operationId;
      JsonNode closed = PlanOperations.close(context, plan, action, id);
      if (context.jsonOutput()) {
        context.out().println(closed);
        return;
      }
      context
          .out()
          .printf(
              "plan %s is %s, revision %s%n",
              closed.path("id").asText(),
              closed.path("state").asText().toLowerCase(Locale.ROOT),
              closed.path("revision").asText());
    }
  }
}
