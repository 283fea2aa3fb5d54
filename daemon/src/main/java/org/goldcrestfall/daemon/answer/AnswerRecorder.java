package org.goldcrestfall.daemon.answer;

import java.util.List;

/** Records answers for replay. Requests without an id chosen by the caller are ignored. */
public interface AnswerRecorder {

  /** Appends the next tokens of a running answer. */
  void append(String workspace, String requestId, List<String> tokens);

  /** Marks an answer as complete. */
  void finish(
      String workspace,
      String requestId,
      String finishReason,
      long promptTokens,
      long outputTokens);

  /** Discards an answer that failed or was cancelled, so that a retry generates it again. */
  void abandon(String workspace, String requestId);
}
