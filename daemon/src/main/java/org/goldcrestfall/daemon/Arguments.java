package org.goldcrestfall.daemon;

import com.beust.jcommander.Parameter;

/** Command line of the daemon. */
final class Arguments {

  @Parameter(names = "--settings", description = "Run with the settings in this JSON file")
  String settings;

  @Parameter(names = "--check", description = "Only check the settings in this JSON file")
  String check;

  @Parameter(names = "--version", description = "Print the version")
  boolean version;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Print this help")
  boolean help;
}
