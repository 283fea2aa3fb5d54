package org.goldcrestfall.cli;

/** Entry point. */
public final class CommandLine {

  private CommandLine() {}

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(0);
  }
}
