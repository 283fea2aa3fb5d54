package org.goldcrestfall.daemon.upstream;

/**
 * One event of an engine's stream. {@code offset} is the 0-based index of the token, or -1 for an
 * event without a token; {@code requestId} is null if the engine does not echo it; {@code
 * promptTokens} and {@code outputTokens} are -1 until the engine reports its usage; {@code
 * finishReason} is null until the last token.
 */
public record TokenEvent(
    String requestId,
    long offset,
    String text,
    String finishReason,
    long promptTokens,
    long outputTokens) {

  /** Returns whether the event carries a token. */
  public boolean hasToken() {
    return offset >= 0;
  }

  /** Returns whether the event carries the engine's usage. */
  public boolean hasUsage() {
    return promptTokens >= 0;
  }
}
