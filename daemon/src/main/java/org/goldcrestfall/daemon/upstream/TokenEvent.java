package org.goldcrestfall.daemon.upstream;

/**
 * One event of an engine's stream.
 *
 * @param requestId the request id, or null if the engine does not return it
 * @param offset the 0-based index of the token, or -1 for an event without a token
 * @param text the text of the token, or null for an event without a token
 * @param finishReason why the answer ended, or null before its end
 * @param promptTokens number of prompt tokens, or -1 if the event reports no usage
 * @param outputTokens number of output tokens, or -1 if the event reports no usage
 */
public record TokenEvent(
    String requestId,
    long offset,
    String text,
    String finishReason,
    long promptTokens,
    long outputTokens) {

  /** Returns whether the event contains a token. */
  public boolean hasToken() {
    return offset >= 0;
  }

  /** Returns whether the event reports the token usage. */
  public boolean hasUsage() {
    return promptTokens >= 0;
  }
}
