package org.goldcrestfall.cli;

/** Ends a command with an exit code and a one-line message. It carries no stack trace. */
final class CommandException extends RuntimeException {

  private final ExitCode exitCode;

  CommandException(ExitCode exitCode, String message) {
    super(message, null, false, false);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
