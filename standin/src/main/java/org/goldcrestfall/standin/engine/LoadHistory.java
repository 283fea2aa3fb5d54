package org.goldcrestfall.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.goldcrestfall.core.common.MillisClock;

/** Records samples of the load and reports them with a lag. */
final class LoadHistory {

  /** A sampled load and the age of the sample. */
  record Report(BatchScheduler.Load load, long ageMillis) {}

  private record Sample(long atMillis, BatchScheduler.Load load) {}

  private final MillisClock clock;
  private final long lagMillis;
  private final Deque<Sample> samples = new ArrayDeque<>();

  LoadHistory(MillisClock clock, long lagMillis) {
    this.clock = clock;
    this.lagMillis = lagMillis;
  }

  synchronized void sample(BatchScheduler.Load load) {
    samples.addLast(new Sample(clock.nowMillis(), load));
    while (samples.size() > 1 && isSecondOldestSampleDue()) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the newest sample whose age is at least the lag, or the oldest sample if there is none.
   * At least one sample must have been taken.
   */
  synchronized Report report() {
    while (samples.size() > 1 && isSecondOldestSampleDue()) {
      samples.removeFirst();
    }
    Sample sample = samples.getFirst();
    return new Report(sample.load(), clock.nowMillis() - sample.atMillis());
  }

  private boolean isSecondOldestSampleDue() {
    return samples.stream().skip(1).findFirst().orElseThrow().atMillis()
        <= clock.nowMillis() - lagMillis;
  }
}
