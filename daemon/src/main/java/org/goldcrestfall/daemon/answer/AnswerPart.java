package org.goldcrestfall.daemon.answer;

import java.util.List;

/**
 * The tokens of an answer from index {@code offset} on. {@code finishReason} is null unless the
 * part reaches the end of a complete answer; the token counts are valid only then.
 */
public record AnswerPart(
    long offset, List<String> tokens, String finishReason, long promptTokens, long outputTokens) {

  /** Returns whether the answer ends with this part. */
  public boolean isLast() {
    return finishReason != null;
  }
}
