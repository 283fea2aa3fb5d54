package org.goldcrestfall.cli;

import com.beust.jcommander.ParametersDelegate;

/** A subcommand with its options. */
abstract class Command {

  @ParametersDelegate GlobalOptions globalOptions = new GlobalOptions();

  /**
   * Runs the command.
   *
   * @throws CommandException if the command fails; it has the exit code of the process
   */
  abstract void run(CommandContext context);

  /** Encodes text for a path segment or a query parameter; a space becomes a plus sign. */
  static String urlEncode(String text) {
    return java.net.URLEncoder.encode(text, java.nio.charset.StandardCharsets.UTF_8);
  }
}
