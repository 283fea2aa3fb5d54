package org.goldcrestfall.daemon;

/** Entry point. */
public final class DaemonMain {

  private DaemonMain() {}

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(0);
  }
}
