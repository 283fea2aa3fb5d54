package org.goldcrestfall.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The subcommands that list records and the state of the fleet. */
final class ListCommands {

  private static final int DEFAULT_LIMIT = 50;

  private ListCommands() {}

  /** Lists billing records. */
  @Parameters(commandDescription = "List the newest billing records of a workspace")
  static final class Billing extends Command {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--limit", description = "Largest count of records")
    int limit = DEFAULT_LIMIT;

    @Override
    void run(Session session) {
      session.printList(
          session
              .client()
              .get("/admin/v1/billing?workspace=" + encoded(workspace) + "&limit=" + limit),
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

  /** Lists bookings. */
  @Parameters(commandDescription = "List the newest bookings of a workspace")
  static final class Bookings extends Command {
    @Parameter(description = "WORKSPACE", required = true)
    String workspace;

    @Parameter(names = "--limit", description = "Largest count of bookings")
    int limit = DEFAULT_LIMIT;

    @Override
    void run(Session session) {
      session.printList(
          session
              .client()
              .get("/admin/v1/bookings?workspace=" + encoded(workspace) + "&limit=" + limit),
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

  /** Lists the audit trail. */
  @Parameters(commandDescription = "List the newest entries of the audit trail")
  static final class Audit extends Command {
    @Parameter(names = "--limit", description = "Largest count of entries")
    int limit = DEFAULT_LIMIT;

    @Parameter(names = "--object", description = "Only entries of this object")
    String object = "";

    @Override
    void run(Session session) {
      session.printList(
          session.client().get("/admin/v1/audit?limit=" + limit + "&object=" + encoded(object)),
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

  /** Lists hosts. */
  @Parameters(commandDescription = "List hosts with the configuration revision in force")
  static final class Hosts extends Command {
    @Override
    void run(Session session) {
      session.printList(
          session.client().get("/admin/v1/hosts"),
          "hosts",
          List.of("host", "boot", "zone", "address", "state", "config_revision"));
    }
  }

  /** Lists upstreams. */
  @Parameters(commandDescription = "List upstreams as the answering router sees them")
  static final class Upstreams extends Command {
    @Override
    void run(Session session) {
      session.printList(
          session.client().get("/admin/v1/upstreams"),
          "upstreams",
          List.of("name", "kind", "address", "zone", "state", "age_millis"));
    }
  }

  /** Shows the control group. */
  @Parameters(commandDescription = "Show the control member that answers, and its group")
  static final class ControlStatus extends Command {
    @Override
    void run(Session session) {
      session.printObject(
          session.client().get("/admin/v1/control"),
          List.of("host", "role", "term", "leader", "commit_index", "members"));
    }
  }
}
