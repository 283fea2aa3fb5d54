package org.goldcrestfall.cli;

/** Exit codes of the command line. */
public enum ExitCode {
  SUCCESS(0),
  /** The daemon refused the request, or it failed. */
  REFUSED(1),
  /** Unknown subcommand, missing or invalid option. */
  USAGE(2),
  /** Another operator's change came first. */
  CONFLICT(3),
  /** No server answered, or none reached the control group. */
  NOT_REACHABLE(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
