package org.goldcrestfall.core.common;

import static com.google.common.base.Preconditions.checkArgument;

/** A clock that moves only when told to, for tests and replayed traces. */
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
