package org.goldcrestfall.core.common;

import static com.google.common.base.Preconditions.checkArgument;

/** A clock that only advances when {@link #advance} is called, for tests and simulations. */
public final class ManualClock implements MillisClock {

  private long now;

  /** Creates a clock that reads {@code startMillis}. */
  public ManualClock(long startMillis) {
    now = startMillis;
  }

  @Override
  public long nowMillis() {
    return now;
  }

  /** Moves the clock forward by {@code millis}, which must not be negative. */
  public void advance(long millis) {
    checkArgument(millis >= 0, "millis must not be negative: %s", millis);
    now += millis;
  }
}
