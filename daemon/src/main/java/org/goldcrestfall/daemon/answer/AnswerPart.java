package org.goldcrestfall.daemon.answer;

import java.util.List;

/**
 * A part of an answer from {@code offset} on. {@code finishReason} is null unless the part reaches
 * the end of a whole answer.
 */
public record AnswerPart(
    long offset, List<String> tokens, String finishReason, long promptTokens, long outputTokens) {

  /** Returns whether nothing follows. */
  public boolean isLast() {
    return finishReason != null;
  }
}
