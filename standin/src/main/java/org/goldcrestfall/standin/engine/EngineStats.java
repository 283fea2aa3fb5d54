package org.goldcrestfall.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.concurrent.atomic.AtomicLong;

/** Counters of the engine, kept since it started. */
final class EngineStats {

  /** The counters and the load at one time, written as the JSON body of {@code GET /stats}. */
  record Snapshot(
      long started,
      long finished,
      long cancelled,
      long running,
      long waiting,
      long tokens,
      @JsonProperty("late_started") long lateStarted,
      @JsonProperty("cached_prompt_tokens") long cachedPromptTokens) {}

  final AtomicLong started = new AtomicLong();
  final AtomicLong finished = new AtomicLong();
  final AtomicLong cancelled = new AtomicLong();
  final AtomicLong tokens = new AtomicLong();

  /** Requests that started more than 5 s after the engine began to announce that it is leaving. */
  final AtomicLong lateStarted = new AtomicLong();

  final AtomicLong cachedPromptTokens = new AtomicLong();

  Snapshot snapshot(BatchScheduler.Load load) {
    return new Snapshot(
        started.get(),
        finished.get(),
        cancelled.get(),
        load.running(),
        load.waiting(),
        tokens.get(),
        lateStarted.get(),
        cachedPromptTokens.get());
  }
}
