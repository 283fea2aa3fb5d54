package org.goldcrestfall.cli;

import com.beust.jcommander.ParametersDelegate;

/** A subcommand. */
abstract class Command {

  @ParametersDelegate GlobalOptions global = new GlobalOptions();

  /** Runs the command; a {@link CommandFailure} ends it with another exit code than 0. */
  abstract void run(Session session);

  static String encoded(String text) {
    return java.net.URLEncoder.encode(text, java.nio.charset.StandardCharsets.UTF_8);
  }
}
