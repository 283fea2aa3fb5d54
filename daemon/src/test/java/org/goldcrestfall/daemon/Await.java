package org.goldcrestfall.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests for what other threads do. */
public final class Await {

  private static final int PAUSE_MILLIS = 10;

  private Await() {}

  /** Returns when the condition holds; fails after the limit. */
  public static void await(BooleanSupplier condition, long limitSeconds) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(limitSeconds);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not hold in " + limitSeconds + " s");
      }
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }
}
