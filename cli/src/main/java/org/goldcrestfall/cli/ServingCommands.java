package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The subcommands of {@code patience}, {@code service} and {@code engine}, which configure how
 * requests are served.
 */
final class ServingCommands {

  private ServingCommands() {}

  /** Defines or changes a patience class. */
  @Parameters(commandDescription = "Define or change a patience class")
  static final class SetPatience extends ChangeCommand {
    @Parameter(description = "CLASS", required = true)
    String name;

    @Parameter(
        names = "--price-per-mille",
        description = "Price of a token in thousandths of a budget token",
        required = true)
    long pricePerMille;

    @Parameter(
        names = "--deadline-millis",
        description = "Deadline of the first token, in milliseconds",
        required = true)
    long deadlineMillis;

    @Parameter(
        names = "--priority",
        description = "Priority; a higher value is served sooner",
        required = true)
    int priority;

    @Parameter(
        names = "--reserved-share-per-mille",
        description = "Share of the capacity that the class can always use, in thousandths")
    int reservedSharePerMille;

    @Override
    ObjectNode intent(CommandContext context) {
      return context
          .newObject()
          .put("type", "set_patience_class")
          .put("name", name)
          .put("price_per_mille", pricePerMille)
          .put("deadline_millis", deadlineMillis)
          .put("priority", priority)
          .put("reserved_share_per_mille", reservedSharePerMille);
    }
  }

  /** Lists patience classes. */
  @Parameters(commandDescription = "List patience classes")
  static final class ListPatience extends Command {
    @Override
    void run(CommandContext context) {
      context.printList(
          context.client().get("/admin/v1/workspaces"),
          "patience_classes",
          List.of(
              "name",
              "price_per_mille",
              "deadline_millis",
              "priority",
              "reserved_share_per_mille"));
    }
  }

  /** Defines or changes a plain service. */
  @Parameters(commandDescription = "Define or change a plain service")
  static final class DefineService extends ChangeCommand {
    @Parameter(description = "SERVICE", required = true)
    String name;

    @Parameter(
        names = "--price-tokens",
        description = "Price of a call in budget tokens",
        required = true)
    long priceTokens;

    @Parameter(
        names = "--idempotent-methods",
        description = "Comma-separated HTTP methods that may be repeated")
    List<String> idempotentMethods = new ArrayList<>(List.of("GET"));

    @Override
    ObjectNode intent(CommandContext context) {
      ObjectNode intent =
          context
              .newObject()
              .put("type", "define_service")
              .put("name", name)
              .put("price_tokens", priceTokens);
      ArrayNode methods = intent.putArray("idempotent_methods");
      idempotentMethods.forEach(methods::add);
      return intent;
    }
  }

  /** Orders an engine to load or unload a model, or to change its role. */
  @Parameters(commandDescription = "Order an engine to load a model or to change its role")
  static final class OrderEngine extends ChangeCommand {
    @Parameter(description = "ENGINE", required = true)
    String engine;

    @Parameter(names = "--action", description = "load, unload or role", required = true)
    String action;

    @Parameter(names = "--model", description = "Model, adapter, version or role", required = true)
    String model;

    @Override
    ObjectNode intent(CommandContext context) {
      return context
          .newObject()
          .put("type", "order_engine")
          .put("engine", engine)
          .put("action", action)
          .put("model", model);
    }
  }
}
