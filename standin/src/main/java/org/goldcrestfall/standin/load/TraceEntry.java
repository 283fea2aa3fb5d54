package org.goldcrestfall.standin.load;

import org.goldcrestfall.standin.answer.Prompt;

/**
 * One request of a trace. {@code atNanos} counts from the start; {@code prompt} is empty for calls
 * of the plain service, {@code item} for chat completions.
 */
record TraceEntry(
    long offsetNanos,
    String id,
    Kind kind,
    String patienceClass,
    int keyIndex,
    Prompt prompt,
    int maxTokens,
    String item) {

  /** What is requested. */
  enum Kind {
    STREAM,
    PLAIN,
    LOOKUP,
    BOOKING
  }

  boolean isChat() {
    return kind == Kind.STREAM || kind == Kind.PLAIN;
  }
}
