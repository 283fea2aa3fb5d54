package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The subcommands that list records and the state of the fleet. */
final class ListCommands {

  private static final int DEFAULT_LIMIT = 50;

  private ListCommands() {}

  /** Lists the newest billing records of a workspace. */
  @Parameters(commandDescription = "List the newest billing records of a workspace")
  static final class Billing extends Command {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--limit", description = "Maximum number of records")
    int limit = DEFAULT_LIMIT;

    @Override
    void run(CommandContext context) {
      context.printList(
          context
              .client()
              .get("/admin/v1/billing?workspace=" + urlEncode(workspace) + "&limit=" + limit),
          "records",
          List.of(
              "at_millis",
              "request_id",
              "target",
              "patience_class",
              "prompt_tokens",
              "output_tokens",
              "tokens"));
    }
  }

  /** Lists the newest bookings of a workspace. */
  @Parameters(commandDescription = "List the newest bookings of a workspace")
  static final class Bookings extends Command {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--limit", description = "Maximum number of bookings")
    int limit = DEFAULT_LIMIT;

    @Override
    void run(CommandContext context) {
      context.printList(
          context
              .client()
              .get("/admin/v1/bookings?workspace=" + urlEncode(workspace) + "&limit=" + limit),
          "bookings",
          List.of(
              "at_millis",
              "request_id",
              "service",
              "outcome",
              "status",
              "tokens",
              "router.host",
              "router.boot"));
    }
  }

  /** Lists the newest entries of the audit trail. */
  @Parameters(commandDescription = "List the newest entries of the audit trail")
  static final class Audit extends Command {
    @Parameter(names = "--limit", description = "Maximum number of entries")
    int limit = DEFAULT_LIMIT;

    @Parameter(names = "--object", description = "Only entries of this object")
    String object = "";

    @Override
    void run(CommandContext context) {
      context.printList(
          context.client().get("/admin/v1/audit?limit=" + limit + "&object=" + urlEncode(object)),
          "entries",
          List.of(
              "revision",
              "at_millis",
              "operator",
              "plan_id",
              "action",
              "object",
              "before",
              "after"));
    }
  }

  /** Lists hosts with their configuration revisions. */
  @Parameters(commandDescription = "List hosts with the configuration revision in force")
  static final class Hosts extends Command {
    @Override
    void run(CommandContext context) {
      context.printList(
          context.client().get("/admin/v1/hosts"),
          "hosts",
          List.of("host", "boot", "zone", "address", "state", "config_revision"));
    }
  }

  /** Lists upstreams as one router sees them. */
  @Parameters(commandDescription = "List upstreams as the answering router sees them")
  static final class Upstreams extends Command {
    @Override
    void run(CommandContext context) {
      context.printList(
          context.client().get("/admin/v1/upstreams"),
          "upstreams",
          List.of("name", "kind", "address", "zone", "state", "age_millis"));
    }
  }

  /** Shows the status of one control member and its group. */
  @Parameters(commandDescription = "Show the control member that answers, and its group")
  static final class ControlStatus extends Command {
    @Override
    void run(CommandContext context) {
      context.printObject(
          context.client().get("/admin/v1/control"),
          List.of("host", "role", "term", "leader", "commit_index", "members"));
    }
  }
}
