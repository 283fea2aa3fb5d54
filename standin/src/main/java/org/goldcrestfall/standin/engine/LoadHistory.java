package org.goldcrestfall.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.goldcrestfall.core.common.MillisClock;

/** Samples of the load, from which reports are taken with a lag. */
final class LoadHistory {

  /** A load with its age. */
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

  /** Returns the newest sample that is at least the lag old, or else the oldest one. */
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
