package org.goldcrestfall.standin.load;

import org.goldcrestfall.standin.answer.Prompt;

/**
 * One request of a trace.
 *
 * @param offsetNanos scheduled time since the start of the run
 * @param id the {@code Idempotency-Key}
 * @param patienceClass name of the patience class, or empty for the default
 * @param keyIndex index of the API key
 * @param prompt prompt of a chat completion, empty for a service call
 * @param maxTokens limit of output tokens, 0 for a service call
 * @param item item of a service call, empty for a chat completion
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

  /**
   * The kind of request: a streamed or plain chat completion, or a lookup or booking of a service.
   */
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
