package org.goldcrestfall.cli;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Options of every subcommand. */
final class GlobalOptions {

  private static final long DEFAULT_TIMEOUT_SECONDS = 10;

  /** Output format. */
  enum Output {
    TABLE,
    JSON
  }

  /** Parses {@code json} or {@code table}. */
  static final class OutputConverter implements IStringConverter<Output> {
    @Override
    public Output convert(String value) {
      return switch (value) {
        case "json" -> Output.JSON;
        case "table" -> Output.TABLE;
        default -> throw new ParameterException("--output: " + value + ", expected json or table");
      };
    }
  }

  @Parameter(
      names = "--server",
      description = "ip:port of a daemon; repeat it for failover (default: GOLDCRESTFALL_SERVER)")
  List<String> servers = new ArrayList<>();

  @Parameter(names = "--token", description = "Operator token (default: GOLDCRESTFALL_TOKEN)")
  String token = "";

  @Parameter(names = "--output", description = "json or table", converter = OutputConverter.class)
  Output output = Output.TABLE;

  @Parameter(names = "--timeout-seconds", description = "Timeout of the request to each server")
  long timeoutSeconds = DEFAULT_TIMEOUT_SECONDS;

  @Parameter(names = "--help", help = true, description = "Show this help")
  boolean help;

  /** Returns the servers of the options, or those of the environment if there are none. */
  List<String> servers(Map<String, String> environment) {
    if (!servers.isEmpty()) {
      return servers;
    }
    String value = environment.getOrDefault("GOLDCRESTFALL_SERVER", "");
    if (value.isBlank()) {
      throw new CommandException(
          ExitCode.USAGE, "--server: missing, expected ip:port (or GOLDCRESTFALL_SERVER)");
    }
    return List.of(value.trim().split("[,\\s]+"));
  }

  /** Returns the token of the options, or that of the environment if there is none. */
  String token(Map<String, String> environment) {
    String value = token.isEmpty() ? environment.getOrDefault("GOLDCRESTFALL_TOKEN", "") : token;
    if (value.isBlank()) {
      throw new CommandException(
          ExitCode.USAGE, "--token: missing, expected an operator token (or GOLDCRESTFALL_TOKEN)");
    }
    return value.trim();
  }
}
