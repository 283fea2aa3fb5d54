package org.goldcrestfall.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Lets tests wait for a condition that other threads bring about. */
public final class Await {

  private static final int POLL_INTERVAL_MILLIS = 10;

  private Await() {}

  /** Returns when the condition holds; fails after {@code limitSeconds}. */
  public static void await(BooleanSupplier condition, long limitSeconds) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(limitSeconds);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not become true within " + limitSeconds + " s");
      }
      try {
        Thread.sleep(POLL_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }
}
