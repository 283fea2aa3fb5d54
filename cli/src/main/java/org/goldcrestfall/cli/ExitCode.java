package org.goldcrestfall.cli;

/** Exit codes of the command line. */
public enum ExitCode {
  SUCCESS(0),
  /** The daemon refused the request, or it failed. */
  REFUSED(1),
  /** Unknown subcommand, missing or invalid option. */
  USAGE(2),
  /**
   * An object of the plan has changed since the plan was created, or the plan is already closed.
   */
  CONFLICT(3),
  /** Every server was unreachable, draining or without a quorum. */
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
