package org.goldcrestfall.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** The operators' command line: {@code goldcrestfall GROUP COMMAND [options]}. */
public final class CommandLine {

  private static final String PROGRAM = "goldcrestfall";

  private final Map<String, Map<String, Command>> groups = new LinkedHashMap<>();
  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  /** Creates a command line that takes defaults from the variables in {@code environment}. */
  public CommandLine(Map<String, String> environment, PrintStream out, PrintStream err) {
    this.environment = Map.copyOf(environment);
    this.out = out;
    this.err = err;
    add("workspace", "create", new WorkspaceCommands.Create());
    add("workspace", "limits", new WorkspaceCommands.Limits());
    add("workspace", "list", new WorkspaceCommands.ListAll());
    add("key", "create", new WorkspaceCommands.CreateKey());
    add("key", "revoke", new WorkspaceCommands.RevokeKey());
    add("key", "limits", new WorkspaceCommands.KeyLimits());
    add("budget", "top-up", new BudgetCommands.TopUp());
    add("budget", "show", new BudgetCommands.Show());
    add("budget", "release-stranded", new BudgetCommands.ReleaseStranded());
    add("patience", "set", new ServingCommands.SetPatience());
    add("patience", "list", new ServingCommands.ListPatience());
    add("service", "define", new ServingCommands.DefineService());
    add("engine", "order", new ServingCommands.OrderEngine());
    add("plan", "show", new PlanCommands.Show());
    add("plan", "confirm", new PlanCommands.Confirm());
    add("plan", "drop", new PlanCommands.Drop());
    add("billing", "list", new ListCommands.Billing());
    add("booking", "list", new ListCommands.Bookings());
    add("audit", "list", new ListCommands.Audit());
    add("host", "list", new ListCommands.Hosts());
    add("upstream", "list", new ListCommands.Upstreams());
    add("control", "status", new ListCommands.ControlStatus());
  }

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(new CommandLine(System.getenv(), System.out, System.err).run(args).code());
  }

  /** Runs a subcommand and returns the exit code of the process. */
  public ExitCode run(String... args) {
    if (args.length == 0 || args[0].equals("--help")) {
      (args.length == 0 ? err : out).print(overview());
      return args.length == 0 ? ExitCode.USAGE : ExitCode.SUCCESS;
    }
    Map<String, Command> group = groups.get(args[0]);
    if (group == null) {
      return usageError("unknown command " + args[0] + ", expected one of " + groups.keySet());
    }
    if (args.length > 1 && args[1].equals("--help")) {
      group.forEach((name, command) -> out.print(usage(args[0] + " " + name, command)));
      return ExitCode.SUCCESS;
    }
    Command command = args.length > 1 ? group.get(args[1]) : null;
    if (command == null) {
      return usageError(args[0] + ": expected one of " + group.keySet());
    }
    return run(command, args);
  }

  private ExitCode run(Command command, String[] args) {
    String name = args[0] + " " + args[1];
    try {
      parser(name, command).parse(java.util.Arrays.copyOfRange(args, 2, args.length));
      if (command.globalOptions.help) {
        out.print(usage(name, command));
        return ExitCode.SUCCESS;
      }
      command.run(context(command.globalOptions));
      return ExitCode.SUCCESS;
    } catch (ParameterException e) {
      return usageError(name + ": " + e.getMessage().replace('\n', ' '));
    } catch (CommandException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return e.exitCode();
    }
  }

  private CommandContext context(GlobalOptions options) {
    ObjectMapper mapper = new ObjectMapper();
    AdminClient client =
        new AdminClient(
            mapper,
            options.servers(environment),
            options.token(environment),
            Duration.ofSeconds(options.timeoutSeconds));
    return new CommandContext(mapper, client, options.output == GlobalOptions.Output.JSON, out);
  }

  private void add(String group, String name, Command command) {
    groups.computeIfAbsent(group, key -> new LinkedHashMap<>()).put(name, command);
  }

  private ExitCode usageError(String message) {
    err.println(PROGRAM + ": " + message);
    return ExitCode.USAGE;
  }

  private String overview() {
    StringBuilder text = new StringBuilder("Usage: " + PROGRAM + " GROUP COMMAND [options]\n");
    groups.forEach(
        (group, commands) ->
            commands.forEach(
                (name, command) ->
                    text.append(
                        String.format("  %-26s%s%n", group + " " + name, description(command)))));
    return text.append("Use --help after a command to list its options.\n").toString();
  }

  private static String description(Command command) {
    return command
        .getClass()
        .getAnnotation(com.beust.jcommander.Parameters.class)
        .commandDescription();
  }

  private static String usage(String name, Command command) {
    StringBuilder text = new StringBuilder();
    parser(name, command).getUsageFormatter().usage(text);
    return description(command) + "\n" + text;
  }

  private static JCommander parser(String name, Command command) {
    return JCommander.newBuilder().programName(PROGRAM + " " + name).addObject(command).build();
  }
}
