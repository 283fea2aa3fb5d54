package org.goldcrestfall.daemon.answer;

import java.util.List;

/** Records the answers of requests whose id the caller chose; others are ignored. */
public interface AnswerRecorder {

  /** Adds the next tokens of a running answer. */
  void append(String workspace, String requestId, List<String> tokens);

  /** Marks an answer as whole. */
  void finish(
      String workspace,
      String requestId,
      String finishReason,
      long promptTokens,
      long outputTokens);

  /** Drops an answer that failed or was cancelled, so that a retry runs it again. */
  void abandon(String workspace, String requestId);
}
