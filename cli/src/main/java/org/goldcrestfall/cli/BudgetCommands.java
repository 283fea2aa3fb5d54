package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The subcommands of {@code budget}. */
final class BudgetCommands {

  private BudgetCommands() {}

  /** Adds paid tokens to a budget. */
  @Parameters(commandDescription = "Add paid tokens to a budget")
  static final class TopUp extends ChangeCommand {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--tokens", description = "Tokens to add", required = true)
    long tokens;

    @Override
    ObjectNode intent(CommandContext context) {
      return context
          .newObject()
          .put("type", "top_up_budget")
          .put("workspace", workspace)
          .put("tokens", tokens);
    }
  }

  /** Shows a budget and what is outstanding at each router. */
  @Parameters(commandDescription = "Show a budget and the allotments of the routers")
  static final class Show extends Command {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Override
    void run(CommandContext context) {
      JsonNode budget = context.client().get("/admin/v1/budgets/" + urlEncode(workspace));
      context.printObject(
          budget, List.of("workspace", "paid_in", "settled", "outstanding", "stranded"));
      if (!context.jsonOutput()) {
        budget
            .path("outstanding_by_router")
            .fields()
            .forEachRemaining(
                entry ->
                    context
                        .out()
                        .printf("outstanding at %s: %s%n", entry.getKey(), entry.getValue()));
      }
    }
  }

  /** Returns the stranded tokens of a router to the budget. */
  @Parameters(commandDescription = "Return the stranded tokens of a router whose host is destroyed")
  static final class ReleaseStranded extends ChangeCommand {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--host", description = "Host of the router", required = true)
    String host;

    @Parameter(names = "--boot", description = "Boot number of the router", required = true)
    long boot;

    @Override
    ObjectNode intent(CommandContext context) {
      ObjectNode intent =
          context.newObject().put("type", "release_stranded").put("workspace", workspace);
      intent.set("incarnation", context.newObject().put("host", host).put("boot", boot));
      return intent;
    }
  }
}
