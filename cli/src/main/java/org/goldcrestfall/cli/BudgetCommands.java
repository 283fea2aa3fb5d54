package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The subcommands of {@code budget}. */
final class BudgetCommands {

  private BudgetCommands() {}

  /** Adds tokens. */
  @Parameters(commandDescription = "Add paid tokens to a budget")
  static final class TopUp extends ChangeCommand {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--tokens", description = "Tokens to add", required = true)
    long tokens;

    @Override
    ObjectNode intent(Session session) {
      return session
          .object()
          .put("type", "top_up_budget")
          .put("workspace", workspace)
          .put("tokens", tokens);
    }
  }

  /** Shows a budget. */
  @Parameters(commandDescription = "Show a budget and the allotments of the routers")
  static final class Show extends Command {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Override
    void run(Session session) {
      JsonNode budget = session.client().get("/admin/v1/budgets/" + encoded(workspace));
      session.printObject(
          budget, List.of("workspace", "paid_in", "settled", "outstanding", "stranded"));
      if (!session.json()) {
        budget
            .path("outstanding_by_router")
            .fields()
            .forEachRemaining(
                entry ->
                    session
                        .out()
                        .printf("outstanding at %s: %s%n", entry.getKey(), entry.getValue()));
      }
    }
  }

  /** Releases stranded tokens. */
  @Parameters(commandDescription = "Return the stranded tokens of a router whose host is destroyed")
  static final class ReleaseStranded extends ChangeCommand {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--host", description = "Host of the router", required = true)
    String host;

    @Parameter(names = "--boot", description = "Boot number of the router", required = true)
    long boot;

    @Override
    ObjectNode intent(Session session) {
      ObjectNode intent =
          session.object().put("type", "release_stranded").put("workspace", workspace);
      intent.set("incarnation", session.object().put("host", host).put("boot", boot));
      return intent;
    }
  }
}
