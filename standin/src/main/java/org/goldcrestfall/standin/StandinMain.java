package org.goldcrestfall.standin;

/** Entry point. */
public final class StandinMain {

  private StandinMain() {}

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(0);
  }
}
